//! Tables of live nodes that hubs pass on.

use nutmegspread_tier::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn member(number: u16) -> MemberRecord {
    MemberRecord {
        node: format!("n{number:03}").into(),
        started_ms: 1,
        callers: SocketAddr::from(([127, 0, 0, 1], number)),
        peers: SocketAddr::from(([127, 0, 0, 1], 1000 + number)),
        domain: "d".into(),
        cores: 0.25,
        ready: true,
        serves: true,
        reaches_store: true,
        revisions: vec![1],
        ages_ms: vec![0],
        known: Vec::new(),
        rollouts: Vec::new(),
        is_rare: false,
        table: 0,
        level: 0,
        era: 0,
        kept_version: 0,
    }
}

fn names(changes: &TableChanges) -> Vec<&str> {
    changes.records.iter().map(|record| &*record.node).collect()
}

#[test]
fn a_table_changes_only_with_what_it_holds() {
    let mut table = MemberTable::default();
    let mut members = [member(1), member(2), member(3)];
    table.update(members.iter());
    assert_eq!(table.version(), 1);
    members[0].revisions = vec![9];
    members[1].ages_ms = vec![700];
    table.update(members.iter());
    assert_eq!(table.version(), 1, "only what changes often has changed");
    members[1].ready = false;
    table.update(members[..2].iter());
    let changes = table.changes_since(1);
    assert_eq!((changes.version, changes.is_complete), (2, false));
    assert_eq!(names(&changes), ["n002"]);
    assert_eq!(changes.removed, ["n003".into()]);
    table.update(members.iter());
    let changes = table.changes_since(1);
    assert_eq!(names(&changes), ["n002", "n003"]);
    assert!(changes.removed.is_empty(), "the node is live again");
}

#[test]
fn a_version_of_an_earlier_start_gets_a_complete_table() {
    let mut table = MemberTable::default();
    table.update([member(1), member(2)].iter());
    for version in [0, 5] {
        let changes = table.changes_since(version);
        assert!(changes.is_complete);
        assert_eq!(changes.records.len(), 2);
    }
    assert!(table.changes_since(1).records.is_empty());
}

/// View of node 50 in a fleet of which it hears the first six nodes, which are hubs.
fn leaf_view(now: Instant) -> (MemberView, MemberRecord) {
    let mut view = MemberView::new(MemberSettings::default(), now);
    for number in 0..6 {
        let hub = MemberRecord {
            table: 1,
            ..member(number)
        };
        view.apply_record(now, hub);
    }
    (view, member(50))
}

fn table_of(numbers: std::ops::Range<u16>) -> TableChanges {
    TableChanges {
        version: 1,
        is_complete: true,
        records: numbers.map(member).collect(),
        removed: Vec::new(),
    }
}

#[test]
fn a_node_knows_the_nodes_in_the_tables_of_the_hubs_that_it_follows() {
    let now = Instant::now();
    let (mut view, own) = leaf_view(now);
    let behind = view.tables_behind(now, &own);
    assert_eq!(behind.len(), 2, "each node follows two hubs");
    for (hub, _, version) in behind {
        view.apply_table(now, &own, &hub, version, table_of(0..100));
    }
    assert!(view.tables_behind(now, &own).is_empty());
    assert_eq!(view.live_peers(now), 99, "all others");
    assert_eq!(view.place(now, &own), FleetPlace::Leaf);
}

/// All hubs fail at once: the nodes in their last tables choose the next ones.
#[test]
fn the_tables_of_silent_hubs_are_used_without_the_hubs() {
    let now = Instant::now();
    let (mut view, own) = leaf_view(now);
    for (hub, _, version) in view.tables_behind(now, &own) {
        view.apply_table(now, &own, &hub, version, table_of(0..100));
    }
    let at = |millis| now + Duration::from_millis(millis);
    assert_eq!(view.live_peers(at(1500)), 99);
    assert_eq!(view.live_peers(at(1700)), 93, "the hubs are silent");
    let hubs = view.hubs(at(1700), &own);
    assert!(hubs.iter().any(|hub| &*hub.node == "n006"));
    assert_eq!(view.live_peers(at(5100)), 0);
    assert!(view.is_searching(at(1700), FleetPlace::Leaf));
}

#[test]
fn changes_for_another_version_are_ignored() {
    let now = Instant::now();
    let (mut view, own) = leaf_view(now);
    let (hub, _, _) = view.tables_behind(now, &own).remove(0);
    let changes = TableChanges {
        is_complete: false,
        ..table_of(0..100)
    };
    view.apply_table(now, &own, &hub, 7, changes);
    assert_eq!(view.live_peers(now), 6);
}

/// Two nodes that take each other for hubs must not answer each other without end.
#[test]
fn an_answer_to_a_misdirected_heartbeat_is_not_answered() {
    let now = Instant::now();
    let (mut view, _) = leaf_view(now);
    let sender = member(70);
    assert!(view.is_misdirected(now, FleetPlace::Leaf, &sender));
    view.apply_record(now, sender.clone());
    let soon = now + Duration::from_millis(5);
    assert!(!view.is_misdirected(soon, FleetPlace::Leaf, &sender));
    assert!(!view.is_misdirected(now, FleetPlace::Hub, &member(71)));
}
