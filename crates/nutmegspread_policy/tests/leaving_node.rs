//! A node in a planned stop announces the stop, gives up its shares, and stays reachable for
//! callers.

mod support;

use nutmegspread_model::{RefusalReason, TargetLimits};
use nutmegspread_policy::fleet::{FleetInput, FleetSettings};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use support::{FleetNetwork, LoadLedger};

const SECOND: Duration = Duration::from_secs(1);

/// A settled network in which node 2 begins to leave.
fn leaving_network() -> FleetNetwork {
    let mut network = FleetNetwork::new(7, FleetSettings::default(), 4);
    network.run_for(10 * SECOND, |_| {});
    network.input(2, FleetInput::Leave);
    network
}

#[test]
fn a_leaving_node_is_not_advertised_after_a_heartbeat() {
    let mut network = leaving_network();
    network.run_for(SECOND, |_| {});
    let mut rng = SmallRng::seed_from_u64(1);
    for index in 0..7 {
        for _ in 0..100 {
            let answer = network
                .policy(index)
                .answer_addresses(Some("domain-2"), &mut rng);
            assert!(
                answer
                    .addresses
                    .iter()
                    .all(|address| &*address.node != "node-2")
            );
        }
    }
}

/// The messages of the leaving node are lost, so its peers advertise it until it no longer
/// counts as live, and callers keep these answers for a time.
#[test]
fn a_leaving_node_accepts_work_until_every_answer_has_expired() {
    let mut network = FleetNetwork::new(7, FleetSettings::default(), 4);
    network.run_for(10 * SECOND, |_| {});
    let links = [0, 1, 3, 4, 5, 6].map(|other| (2, other));
    network.faults.cuts.extend(links);
    network.input(2, FleetInput::Leave);
    let keep_for = network.settings.keep_addresses_for;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut last_answer = Duration::ZERO;
    network.run_for(6 * SECOND, |network| {
        let answers = [0, 1, 3, 4, 5, 6].map(|index| {
            network
                .policy(index)
                .answer_addresses(Some("domain-2"), &mut rng)
                .addresses
        });
        let advertised = answers
            .iter()
            .flatten()
            .any(|address| &*address.node == "node-2");
        if advertised {
            last_answer = network.now;
        }
        assert_eq!(network.policy(2).refuse_work(), None);
    });
    let leave_at = network.policy(2).view().leave_at.unwrap();
    assert!(
        last_answer > 10 * SECOND,
        "no answer advertised the node after it began to leave"
    );
    assert!(
        last_answer + keep_for <= leave_at,
        "{last_answer:?} {leave_at:?}"
    );
    network.run_until(leave_at + SECOND, |_| {});
    assert_eq!(
        network.policy(2).refuse_work(),
        Some(RefusalReason::Leaving)
    );
}

#[test]
fn the_shares_of_a_leaving_node_move_without_exceeding_limits() {
    let mut network = leaving_network();
    let limits = TargetLimits {
        slots: 5,
        ..Default::default()
    };
    let mut ledgers: Vec<LoadLedger> = (0..8).map(|_| LoadLedger::default()).collect();
    network.run_for(15 * SECOND, |network| {
        for (target, ledger) in ledgers.iter_mut().enumerate() {
            let (slots, connections, leaders) =
                ledger.sum(network, &format!("target-{target}"), &limits);
            assert!(slots <= 5 && connections <= 25 && leaders <= 1);
        }
    });
    let slots = |target: &str, index| network.share(index, target, &limits).slots;
    for target in (0..8).map(|target| format!("target-{target}")) {
        assert_eq!(slots(&target, 2), 0);
        assert_eq!((0..7).map(|index| slots(&target, index)).sum::<u32>(), 5);
    }
}

#[test]
fn a_rolling_restart_keeps_all_members_and_the_roster() {
    let mut network = FleetNetwork::new(7, FleetSettings::default(), 9);
    network.run_for(10 * SECOND, |_| {});
    for index in 0..7 {
        network.input(index, FleetInput::Leave);
        network.run_for(8 * SECOND, |_| {});
        network.start(index);
        network.run_for(15 * SECOND, |_| {});
        assert_eq!(network.settled().len(), 7);
    }
    assert_eq!(network.stored.version, 1);
}
