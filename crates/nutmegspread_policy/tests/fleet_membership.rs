//! Which nodes are members of the fleet, and which shares they may use while nodes fail.

mod support;

use nutmegspread_model::{NodeRecord, RefusalReason, RosterRecord, TargetLimits};
use nutmegspread_policy::fleet::{FleetInput, FleetSettings};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::time::Duration;
use support::FleetNetwork;

const SECOND: Duration = Duration::from_secs(1);
/// Time within which the views of all nodes settle.
const SETTLING_LIMIT: Duration = Duration::from_secs(10);
const TARGETS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn limits() -> TargetLimits {
    TargetLimits {
        slots: 5,
        ..Default::default()
    }
}

/// Sum of the slots that all nodes may use, for each target.
fn slots_in_use(network: &FleetNetwork) -> Vec<u32> {
    let slots = |target: &str, index| network.share(index, target, &limits()).slots;
    let total = |target| {
        (0..network.nodes.len())
            .map(|index| slots(target, index))
            .sum()
    };
    TARGETS.iter().map(|target| total(target)).collect()
}

fn uses_no_shares(network: &FleetNetwork, index: usize) -> bool {
    TARGETS
        .iter()
        .all(|target| network.share(index, target, &limits()).is_empty())
}

fn settled_network(size: usize) -> FleetNetwork {
    let mut network = FleetNetwork::new(size, FleetSettings::default(), 1);
    network.run_for(SETTLING_LIMIT, |_| {});
    assert_eq!(network.settled().len(), size);
    assert_eq!(slots_in_use(&network), [5; 6]);
    network
}

/// Cuts all links between the nodes of `side` and the others.
fn isolate(network: &mut FleetNetwork, side: &[usize]) {
    for other in (0..network.nodes.len()).filter(|node| !side.contains(node)) {
        let links = side
            .iter()
            .flat_map(|node| [(*node, other), (other, *node)]);
        network.faults.cuts.extend(links);
    }
}

#[test]
fn a_lost_node_is_replaced_as_owner() {
    let mut network = settled_network(7);
    network.stop(3);
    network.run_for(5 * SECOND, |_| {});
    assert!(
        network
            .policy(0)
            .view()
            .nodes
            .iter()
            .all(|node| &*node.node != "node-3")
    );
    network.run_for(SETTLING_LIMIT, |_| {});
    assert_eq!(slots_in_use(&network), [5; 6]);
}

#[test]
fn a_one_way_cut_removes_no_member_and_replaces_the_stream() {
    let mut network = settled_network(7);
    network.faults.cuts.push((2, 5));
    network.run_for(60 * SECOND, |network| {
        assert_eq!(network.settled().len(), 7);
    });
    assert_eq!(slots_in_use(&network), [5; 6]);
    assert!(network.nodes[2].replaced_streams > 0);
    let untouched = [0, 1, 3, 4, 6].map(|index| network.nodes[index].replaced_streams);
    assert_eq!(untouched, [0; 5]);
}

#[test]
fn a_minority_uses_no_shares_and_the_majority_takes_over() {
    let mut network = settled_network(7);
    isolate(&mut network, &[0, 1, 2]);
    network.run_for(3 * SECOND, |_| {});
    assert!(
        [0, 1, 2]
            .iter()
            .all(|index| uses_no_shares(&network, *index))
    );
    network.run_for(10 * SECOND, |_| {});
    assert_eq!(network.settled(), [3, 4, 5, 6]);
    assert_eq!(slots_in_use(&network), [5; 6]);
    network.faults.cuts.clear();
    network.run_for(SETTLING_LIMIT, |_| {});
    assert_eq!(network.settled().len(), 7);
}

#[test]
fn a_node_without_peers_and_platform_refuses_work_within_seconds() {
    let mut network = settled_network(7);
    isolate(&mut network, &[4]);
    network.run_for(8 * SECOND, |_| {});
    assert_eq!(network.policy(4).refuse_work(), None);
    network.platform_down = true;
    network.run_for(6 * SECOND, |_| {});
    assert_eq!(network.policy(4).refuse_work(), Some(RefusalReason::CutOff));
    assert_eq!(network.policy(0).refuse_work(), None);
    network.faults.cuts.clear();
    network.run_for(2 * SECOND, |_| {});
    assert_eq!(network.policy(4).refuse_work(), None);
}

#[test]
fn a_resumed_node_does_not_use_its_old_shares() {
    let mut network = settled_network(7);
    network.pause(1, 4 * SECOND);
    network.run_for(3 * SECOND, |_| {});
    network.run_for(SECOND + Duration::from_millis(300), |network| {
        assert!(uses_no_shares(network, 1));
    });
    network.run_for(15 * SECOND, |_| {});
    assert_eq!(network.settled().len(), 7);
}

#[test]
fn a_restarted_node_waits_for_agreement() {
    let mut network = settled_network(7);
    network.start(6);
    network.run_for(5 * SECOND, |network| assert!(uses_no_shares(network, 6)));
    network.run_for(SETTLING_LIMIT, |_| {});
    assert_eq!(network.settled().len(), 7);
    assert_eq!(slots_in_use(&network), [5; 6]);
}

#[test]
fn an_hour_without_the_platform_changes_nothing() {
    let mut network = settled_network(7);
    network.platform_down = true;
    network.run_for(1800 * SECOND, |_| {});
    network.start(2);
    network.run_for(1800 * SECOND, |_| {});
    assert_eq!(network.settled().len(), 7);
    assert_eq!(slots_in_use(&network), [5; 6]);
}

#[test]
fn a_listed_vm_that_is_silent_owns_nothing() {
    let mut network = FleetNetwork::new(8, FleetSettings::default(), 3);
    network.stop(7);
    network.run_for(20 * SECOND, |_| {});
    assert_eq!(slots_in_use(&network), [5; 6]);
    assert_eq!(network.policy(0).view().nodes.len(), 7);
}

#[test]
fn new_vms_join_and_gone_ones_leave_the_roster() {
    let mut network = settled_network(7);
    network.stop(0);
    network.listed[0] = false;
    network.run_for(60 * SECOND, |_| {});
    assert_eq!(network.stored.nodes.len(), 6);
    network.listed[0] = true;
    network.start(0);
    network.run_for(30 * SECOND, |_| {});
    assert_eq!(network.stored.nodes.len(), 7);
    assert_eq!(network.settled().len(), 7);
    assert_eq!(slots_in_use(&network), [5; 6]);
}

#[test]
fn a_fully_replaced_fleet_forms_a_new_roster() {
    let mut network = FleetNetwork::stopped(6, FleetSettings::default(), 5);
    network.stored.version = 41;
    network.stored.nodes = vec![NodeRecord {
        node: "old-1".into(),
        ..Default::default()
    }];
    network.stored.previous = vec!["old-2".into()];
    (0..6).for_each(|index| network.start(index));
    network.run_for(60 * SECOND, |_| {});
    assert_eq!(network.stored.nodes.len(), 6);
    assert_eq!(slots_in_use(&network), [5; 6]);
}

#[test]
fn the_first_roster_is_proposed_by_the_nodes() {
    let mut network = FleetNetwork::stopped(7, FleetSettings::default(), 6);
    assert_eq!(network.stored, RosterRecord::default());
    (0..7).for_each(|index| network.start(index));
    network.run_for(30 * SECOND, |_| {});
    assert_eq!(network.stored.nodes.len(), 7);
    assert_eq!(network.settled().len(), 7);
}

#[test]
fn a_single_node_serves_without_the_platform() {
    let mut network = settled_network(1);
    network.platform_down = true;
    network.run_for(60 * SECOND, |_| {});
    assert_eq!(network.policy(0).refuse_work(), None);
    assert_eq!(slots_in_use(&network), [5; 6]);
}

#[test]
fn the_last_of_two_nodes_waits_for_the_platform() {
    let mut network = settled_network(2);
    network.stop(1);
    network.run_for(20 * SECOND, |_| {});
    assert!(uses_no_shares(&network, 0));
    network.listed[1] = false;
    network.run_for(60 * SECOND, |_| {});
    assert_eq!(slots_in_use(&network), [5; 6]);
}

#[test]
fn owners_are_in_different_failure_domains() {
    let network = settled_network(7);
    for target in (0..50).map(|index| format!("target-{index}")) {
        let (owners, _) = network.policy(0).owners_of(&target, &limits());
        assert_eq!(owners.len(), 2);
        let view = network.policy(0).view();
        let domain = |owner: &str| view.nodes.iter().find(|node| &*node.node == owner).unwrap();
        assert_ne!(domain(&owners[0]).domain, domain(&owners[1]).domain);
        assert_eq!(network.policy(5).owners_of(&target, &limits()).0, owners);
    }
}

#[test]
fn address_answers_are_balanced_and_span_domains() {
    let network = settled_network(7);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut first_addresses: BTreeMap<String, u32> = BTreeMap::new();
    for call in 0..7000 {
        let domain = format!("domain-{}", call % 4);
        let answer = network.policy(0).answer_addresses(Some(&domain), &mut rng);
        assert_eq!(answer.addresses.len(), 3);
        assert!(
            answer
                .addresses
                .iter()
                .any(|a| a.domain != answer.addresses[0].domain)
        );
        *first_addresses
            .entry(answer.addresses[0].node.to_string())
            .or_default() += 1;
    }
    assert_eq!(first_addresses.len(), 7);
    assert!(
        first_addresses
            .values()
            .all(|count| (850..=1150).contains(count)),
        "{first_addresses:?}"
    );
}

#[test]
fn address_answers_leave_out_silent_nodes() {
    let mut network = settled_network(7);
    network.stop(6);
    network.run_for(4 * SECOND, |_| {});
    let mut rng = SmallRng::seed_from_u64(2);
    for _ in 0..200 {
        let answer = network
            .policy(1)
            .answer_addresses(Some("domain-2"), &mut rng);
        assert!(
            answer
                .addresses
                .iter()
                .all(|address| &*address.node != "node-6")
        );
    }
}

#[test]
fn nodes_behind_a_revision_are_reported_as_lagging() {
    let mut network = settled_network(7);
    for index in [0, 1, 2, 4, 6] {
        let input = FleetInput::ConfigurationRevision {
            revision: 9,
            confirmed_at: None,
        };
        network.input(index, input);
    }
    network.run_for(2 * SECOND, |_| {});
    let lagging: Vec<String> = network
        .policy(0)
        .lagging_nodes(9)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(lagging, ["node-3", "node-5"]);
}
