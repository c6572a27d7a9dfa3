//! Which nodes are advertised to callers under overload, and how common limits are shared meanwhile.

use nutmegspread_tier::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const LARGE: u16 = 6;
const NODES: u16 = 40;
const STAGES: [LevelStage; 3] = [
    LevelStage::Calm,
    LevelStage::Passing,
    LevelStage::Overloaded,
];

/// Nodes of which the first [`LARGE`] are large; the first `overloaded` ones state `level`.
fn fleet(overloaded: u16, level: u8) -> Vec<MemberRecord> {
    let member = |number: u16| MemberRecord {
        node: format!("n{number:02}").into(),
        started_ms: 1,
        callers: SocketAddr::from(([127, 0, 0, 1], 100 + number)),
        peers: SocketAddr::from(([127, 0, 0, 1], 1000 + number)),
        domain: "a".into(),
        cores: if number < LARGE { 1.0 } else { 0.2 },
        ready: true,
        serves: true,
        reaches_store: true,
        revisions: Vec::new(),
        ages_ms: Vec::new(),
        known: Vec::new(),
        rollouts: Vec::new(),
        is_rare: false,
        table: 0,
        level: if number < overloaded { level } else { 0 },
        era: 0,
        kept_version: 0,
    };
    (0..NODES).map(member).collect()
}

/// View of one node, 3 s after its start, with the records of all others.
fn view(members: &[MemberRecord], own: usize) -> (MemberView, Instant) {
    let start = Instant::now();
    let now = start + Duration::from_secs(3);
    let mut view = MemberView::new(MemberSettings::default(), start);
    for (number, member) in members.iter().enumerate() {
        if number != own {
            view.apply_record(now, member.clone());
        }
    }
    (view, now)
}

/// Guards against a set that widens as one large node is overloaded, and against one that never does.
#[test]
fn other_nodes_join_while_half_of_the_large_ones_are_overloaded() {
    let counts = [(0, 0), (2, 255), (3, 100), (3, 128), (3, 255), (6, 255)].map(
        |(overloaded, level): (u16, u8)| {
            let members = fleet(overloaded, level);
            let (view, now) = view(&members, 0);
            view.advertised(now, &members[0]).len()
        },
    );
    assert_eq!(counts, [6, 6, 6, 40, 40, 40]);
}

/// Guards against common limits that are exceeded while the set changes: nodes know of different stages
/// for a while, but a stage lasts longer than a message takes.
#[test]
fn shares_stay_within_one_while_nodes_know_different_stages() {
    let share = |own: usize, stage: LevelStage| {
        let members = fleet(LARGE, stage.least());
        let (view, now) = view(&members, own);
        view.limit_share(now, &members[own])
    };
    let mut sums = Vec::new();
    for pair in STAGES.windows(2) {
        // Each node has the larger one of the shares of two stages that follow each other.
        let largest = |own| f64::max(share(own, pair[0]), share(own, pair[1]));
        let sum: f64 = (0..usize::from(NODES)).map(largest).sum();
        assert!(sum <= 1.0 + 1e-9, "{pair:?} {sum}");
        sums.push(format!("{sum:.2}"));
    }
    for stage in STAGES {
        let sum: f64 = (0..usize::from(NODES)).map(|own| share(own, stage)).sum();
        sums.push(format!("{stage:?} {sum:.2}"));
    }
    insta::assert_snapshot!(sums.join(", "), @"1.00, 1.00, Calm 1.00, Passing 0.40, Overloaded 1.00");
}

/// Guards against a limit in whole requests that two nodes claim while the set changes.
#[test]
fn whole_requests_are_shared_by_the_same_nodes_in_each_stage() {
    let sharers = STAGES.map(|stage| {
        let members = fleet(LARGE, stage.least());
        let (view, now) = view(&members, 0);
        view.sharers(now, &members[0])
    });
    assert_eq!(sharers[0], sharers[1]);
    assert_eq!(sharers[0], sharers[2]);
}

/// Guards against a set that changes with each burst, and against changes that skip the stage in which
/// nodes give up their shares.
#[test]
fn the_stage_changes_slowly() {
    let start = Instant::now();
    let mut stated = StatedLevel::default();
    let mut changes = Vec::new();
    let mut last = LevelStage::Calm;
    for step in 0..1000_u64 {
        let level = match step * 20 {
            1000..1300 => 1.0,
            2000..5000 => 0.8,
            9000..9100 => 0.3,
            _ => 0.0,
        };
        let byte = stated.update(start + Duration::from_millis(20 * step), level);
        assert_eq!(LevelStage::of(byte), stated.stage());
        if stated.stage() != last {
            last = stated.stage();
            changes.push(format!("{last:?} at {} ms", 20 * step));
        }
    }
    insta::assert_snapshot!(changes.join(", "), @"Passing at 2400 ms, Overloaded at 4400 ms, Passing at 17100 ms, Calm at 19100 ms");
}

/// Guards against levels that do not reach the nodes that hear the hubs alone.
#[test]
fn tables_of_hubs_state_the_stage() {
    let mut table = MemberTable::default();
    let versions = [0, 10, 130, 150, 255].map(|level| {
        table.update(fleet(1, level).iter());
        (table.version(), table.changes_since(0).records[0].level)
    });
    // The version changes with the stage alone, not with each level.
    assert_eq!(versions, [(1, 0), (1, 0), (2, 128), (2, 128), (3, 192)]);
}
