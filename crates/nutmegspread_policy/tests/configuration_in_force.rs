//! Every node applies an accepted configuration within seconds and never reverts to an older one.

mod support;

use nutmegspread_policy::configuration::ConfigurationInput;
use std::time::Duration;
use support::ConfigurationNetwork;

const SECOND: Duration = Duration::from_secs(1);
/// Time within which every node must apply a revision.
const APPLY_LIMIT: Duration = Duration::from_secs(5);

/// Seven nodes that have applied the last of `revisions` revisions.
fn started_network(revisions: u64) -> ConfigurationNetwork {
    let mut network = ConfigurationNetwork::new(7, revisions);
    network.run_until_applied(revisions, APPLY_LIMIT);
    network
}

fn assert_never_reverted(network: &ConfigurationNetwork) {
    for (index, applied) in network.applied.iter().enumerate() {
        assert!(applied.is_sorted(), "node {index} applied {applied:?}");
    }
}

#[test]
fn a_revision_reaches_every_node() {
    let mut network = started_network(3);
    let revision = network.store(None);
    network.run_until_applied(revision, APPLY_LIMIT);
    assert_never_reverted(&network);
}

#[test]
fn a_stale_read_at_boot_does_not_revert_a_node() {
    let mut network = started_network(5);
    network.faults.stale_reads = Some(3);
    network.start(2);
    network.run_until_applied(5, APPLY_LIMIT);
    assert_eq!(network.applied[2], [5]);
    network.run_for(60 * SECOND);
    assert_eq!(network.applied_revisions(), [5; 7]);
}

#[test]
fn nodes_recover_from_stale_reads_while_all_boot() {
    let mut network = started_network(5);
    network.faults.stale_reads = Some(4);
    (0..7).for_each(|index| network.start(index));
    network.run_for(4 * SECOND);
    network.faults.stale_reads = None;
    network.run_until_applied(5, APPLY_LIMIT);
    assert_never_reverted(&network);
}

#[test]
fn a_stale_peer_reverts_no_node() {
    let mut network = started_network(3);
    let links = (0..6).flat_map(|other| [(other, 6), (6, other)]);
    network.faults.cuts = links.collect();
    network.faults.silent_watches.insert(6);
    network.faults.stale_reads = Some(3);
    let revision = network.store(None);
    network.run_for(2 * SECOND);
    assert_eq!(network.applied_revisions(), [4, 4, 4, 4, 4, 4, 3]);
    network.faults.cuts.clear();
    network.run_until_applied(revision, APPLY_LIMIT);
    assert_never_reverted(&network);
}

#[test]
fn a_lost_watch_event_is_recovered() {
    let mut network = started_network(3);
    network.faults.lost_events = true;
    let revision = network.store(None);
    network.run_until_applied(revision, APPLY_LIMIT);
}

#[test]
fn one_silent_watch_does_not_delay_a_revision() {
    let mut network = started_network(3);
    network.faults.silent_watches.insert(0);
    let revision = network.store(None);
    network.run_until_applied(revision, APPLY_LIMIT);
}

#[test]
fn silent_watches_are_replaced() {
    let mut network = started_network(3);
    network.faults.silent_watches.extend(0..7);
    let revision = network.store(None);
    network.run_until_applied(revision, APPLY_LIMIT);
}

#[test]
fn an_outage_after_a_write_does_not_stop_the_revision() {
    let mut network = started_network(3);
    network.faults.lost_events = true;
    let revision = network.store(Some(4));
    network.faults.down = true;
    network.run_until_applied(revision, APPLY_LIMIT);
    network.run_for(3600 * SECOND);
    assert_eq!(network.applied_revisions(), [4; 7]);
}

#[test]
fn a_write_with_unknown_outcome_is_found_by_reading() {
    let mut network = started_network(3);
    network.faults.lost_events = true;
    let revision = network.store(None);
    network.input(4, ConfigurationInput::WriteOutcomeUnknown);
    network.run_until_applied(revision, APPLY_LIMIT);
}

#[test]
fn a_node_restarted_in_an_outage_fetches_from_a_peer() {
    let mut network = started_network(3);
    network.faults.down = true;
    network.start(5);
    network.run_until_applied(3, APPLY_LIMIT);
    assert_eq!(network.applied[5], [3]);
    assert_eq!(network.whole_fetches, 1);
}

#[test]
fn a_fleet_restarted_as_a_whole_reads_the_store() {
    let mut network = started_network(6);
    (0..7).for_each(|index| network.start(index));
    network.run_until_applied(6, APPLY_LIMIT);
    assert!(network.applied.iter().all(|applied| *applied == [6]));
}

#[test]
fn a_confirmation_expires_during_an_outage() {
    let mut network = started_network(3);
    network.run_for(2 * SECOND);
    let recently_confirmed = |network: &ConfigurationNetwork| {
        let policies = network.nodes.iter().flatten();
        policies
            .map(|policy| policy.is_recently_confirmed(network.now))
            .collect::<Vec<_>>()
    };
    assert_eq!(recently_confirmed(&network), [true; 7]);
    network.faults.down = true;
    network.run_for(17 * SECOND);
    assert_eq!(recently_confirmed(&network), [false; 7]);
    assert_eq!(network.applied_revisions(), [3; 7]);
    network.faults.down = false;
    network.run_for(31 * SECOND);
    assert_eq!(recently_confirmed(&network), [true; 7]);
}

#[test]
fn an_older_confirmation_does_not_count_for_a_newer_revision() {
    let mut network = started_network(3);
    let revision = network.store(Some(0));
    let as_of = network.now;
    network.input(
        0,
        ConfigurationInput::PlatformRevision { revision: 3, as_of },
    );
    let policy = network.nodes[0].as_ref().unwrap();
    assert_eq!(policy.revision(), revision);
    assert_eq!(policy.confirmed_at(), Some(as_of));
    network.run_for(2 * SECOND);
    network.faults.stale_reads = Some(3);
    network.faults.silent_watches.extend(0..7);
    network.run_for(20 * SECOND);
    let policy = network.nodes[0].as_ref().unwrap();
    assert!(!policy.is_recently_confirmed(network.now));
}

#[test]
fn calls_to_the_platform_stay_few() {
    let mut network = started_network(3);
    network.run_for(10 * SECOND);
    network.calls = 0;
    network.run_for(60 * SECOND);
    assert!(
        network.calls <= 60,
        "{} calls in a quiet minute",
        network.calls
    );
    network.faults.down = true;
    network.run_for(600 * SECOND);
    network.calls = 0;
    network.faults.down = false;
    network.run_for(60 * SECOND);
    assert!(
        network.calls <= 300,
        "{} calls in the minute after an outage",
        network.calls
    );
}

#[test]
fn nodes_a_few_revisions_behind_fetch_only_changes() {
    let mut network = started_network(3);
    network.whole_fetches = 0;
    for _ in 0..20 {
        let revision = network.store(Some(1));
        network.run_until_applied(revision, APPLY_LIMIT);
    }
    assert_eq!(network.whole_fetches, 0);
}
