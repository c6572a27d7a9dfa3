//! What operators are told of a move is true under every fault, and all nodes come to agree.
//!
//! The fleet checks each node's statement against the store ten times a second: done and taken back
//! are stated only as recorded, a final record never changes, what the store took after the limit is
//! never done, and no node gives the new version work after the limit unless it is done.

mod rollout_bench;

use nutmegspread_model::{RolloutRecord, RolloutState};
use nutmegspread_policy::rollout::{
    KnownRecord, QueryObservation, RolloutAction, RolloutInput, RolloutLimits, RolloutPolicy,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rollout_bench::{
    FleetSettings, NodePause, NodeRestart, RolloutFleet, RunReport, StoreFaults, VersionFault,
    example_rollout, failing_seeds, run_each_seed,
};
use std::time::{Duration, SystemTime};

const SEEDS: u64 = 300;
const NODES: usize = 3;
const LIMIT_SECOND: u64 = 182;
const END: Duration = Duration::from_secs(300);

fn is_agreed(report: &RunReport) -> bool {
    let share = if report.is_done() { 1.0 } else { 0.0 };
    let statement = if report.is_done() {
        "done"
    } else {
        "taken back"
    };
    report.violations.is_empty()
        && (report.is_done() || report.is_rolled_back())
        && report.shares.iter().all(|own| *own == share)
        && report.statements.iter().all(|own| own == statement)
}

fn assert_agreed(name: &str, reports: &[RunReport]) {
    let done = reports.iter().filter(|report| report.is_done()).count();
    println!(
        "{name}: {done} of {} done, the others taken back",
        reports.len()
    );
    let failing = failing_seeds(reports, is_agreed);
    let first = failing.first().map(|seed| &reports[*seed as usize]);
    assert!(
        failing.is_empty(),
        "{name}: seeds {failing:?}, first: {first:#?}"
    );
}

fn random_fault(random: &mut Pcg64Mcg) -> VersionFault {
    let faults = [
        VersionFault::None,
        VersionFault::FailsAtOnce,
        VersionFault::Late(random.random_range(5..60)),
        VersionFault::UnderLoad(0.5),
        VersionFault::OneRoute(1),
    ];
    faults[random.random_range(0..faults.len())]
}

fn lossy_store(random: &mut Pcg64Mcg) -> StoreFaults {
    StoreFaults {
        outage: None,
        lost_answers: random.random_range(0.0..0.7),
        late_writes: random.random_range(0.0..0.5),
    }
}

#[test]
fn statements_hold_when_answers_are_lost_and_writes_land_late() {
    let reports = run_each_seed(SEEDS, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        FleetSettings {
            fault: random_fault(&mut random),
            store: lossy_store(&mut random),
            end: END,
            ..FleetSettings::default()
        }
    });
    assert_agreed("lossy store", &reports);
}

#[test]
fn statements_hold_when_the_store_is_down_around_the_limit() {
    let reports = run_each_seed(SEEDS, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let from = random.random_range(40..LIMIT_SECOND);
        let until = from + random.random_range(5..80);
        FleetSettings {
            rates: vec![0.4],
            store: StoreFaults {
                outage: Some(from..until),
                ..lossy_store(&mut random)
            },
            end: END,
            ..FleetSettings::default()
        }
    });
    assert_agreed("store down around the limit", &reports);
}

#[test]
fn statements_hold_when_coordinators_pause_race_and_restart() {
    let reports = run_each_seed(SEEDS, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let pauses = (0..4).map(|_| random_pause(&mut random)).collect();
        let restarts = (0..2).map(|_| random_restart(&mut random)).collect();
        FleetSettings {
            fault: random_fault(&mut random),
            store: lossy_store(&mut random),
            limits: without_order(),
            pauses,
            restarts,
            end: END,
            ..FleetSettings::default()
        }
    });
    assert_agreed("paused and racing", &reports);
}

/// No lease and no head start, so that all nodes write at the same time.
fn without_order() -> RolloutLimits {
    RolloutLimits {
        lease: Duration::ZERO,
        stagger: Duration::ZERO,
        ..Default::default()
    }
}

fn random_pause(random: &mut Pcg64Mcg) -> NodePause {
    let from = random.random_range(2..LIMIT_SECOND);
    NodePause {
        node: random.random_range(0..NODES),
        time: from..from + random.random_range(1..40),
    }
}

fn random_restart(random: &mut Pcg64Mcg) -> NodeRestart {
    NodeRestart {
        node: random.random_range(0..NODES),
        second: random.random_range(2..LIMIT_SECOND),
    }
}

#[test]
fn a_write_that_lands_after_the_limit_is_never_done() {
    let reports = run_each_seed(SEEDS, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut settings = FleetSettings {
            store: StoreFaults {
                late_writes: 0.8,
                ..StoreFaults::default()
            },
            end: END,
            ..FleetSettings::default()
        };
        let shorter = Duration::from_secs(random.random_range(85..115));
        settings.rollout.finish_by -= shorter;
        settings
    });
    assert_agreed("late writes near the limit", &reports);
    assert!(reports.iter().any(RunReport::is_done));
    assert!(reports.iter().any(RunReport::is_rolled_back));
}

#[test]
fn without_the_store_nodes_stop_on_time_and_say_that_it_is_not_recorded() {
    let mut fleet = RolloutFleet::new(FleetSettings {
        store: StoreFaults {
            outage: Some(30..290),
            ..StoreFaults::default()
        },
        end: END,
        ..FleetSettings::default()
    });
    fleet.run_until(Duration::from_secs(60));
    let share = fleet.node(0).share(fleet.wall(0));
    fleet.run_until(Duration::from_secs(175));
    assert_eq!(
        fleet.node(0).share(fleet.wall(0)),
        share,
        "grew without a confirmation"
    );
    assert!(share > 0.0);
    fleet.run_until(Duration::from_secs(LIMIT_SECOND));
    let report = fleet.finish();
    assert_eq!(report.shares, [0.0; NODES]);
    assert_eq!(report.statements, ["stopped, not yet recorded"; NODES]);
    assert!(report.violations.is_empty(), "{:?}", report.violations);
}

fn known_step(step: u32, version: u64, confirmed: Duration) -> KnownRecord {
    let settings = example_rollout();
    KnownRecord {
        record: RolloutRecord {
            rollout: "move".into(),
            state: RolloutState::Running,
            step,
            recorded_at: settings.start,
            finish_by: settings.finish_by,
            samples: 0,
            coordinator: "node-2".into(),
            lease_until: settings.start,
        },
        version,
        token: None,
        confirmed: settings.start + confirmed,
    }
}

/// A single node that has read step 1 just after the start, and its clock.
fn lone_node() -> (RolloutPolicy, impl Fn(u64) -> (Duration, SystemTime)) {
    let settings = example_rollout();
    let start = settings.start;
    let times = move |second| {
        let elapsed = Duration::from_secs(second);
        (elapsed, start + elapsed)
    };
    let limits = RolloutLimits::default();
    let mut policy = RolloutPolicy::new("move".into(), settings, limits, "node-1".into(), 1);
    let (now, wall) = times(1);
    let read = RolloutInput::RecordRead(known_step(1, 5, Duration::from_secs(1)));
    policy.step(now, wall, read);
    (policy, times)
}

#[test]
fn a_record_confirmed_long_ago_lets_no_share_grow() {
    let (mut policy, times) = lone_node();
    let (now, wall) = times(60);
    let share = policy.share(wall);
    let stale = known_step(2, 6, Duration::from_secs(40));
    policy.step(now, wall, RolloutInput::PeerRecord(stale));
    assert_eq!(policy.share(wall), share);
    let fresh = known_step(2, 6, Duration::from_secs(59));
    policy.step(now, wall, RolloutInput::PeerRecord(fresh));
    assert!(policy.share(wall) > share);
}

#[test]
fn a_step_is_written_only_on_a_fresh_confirmation() {
    let (mut policy, times) = lone_node();
    let is_write = |action: &RolloutAction| matches!(action, RolloutAction::Write { .. });
    let (now, wall) = times(100);
    let output = policy.step(now, wall, RolloutInput::Tick);
    assert!(!output.actions.iter().any(is_write), "{output:?}");
    let confirmed = known_step(1, 5, Duration::from_secs(100));
    let output = policy.step(now, wall, RolloutInput::RecordRead(confirmed));
    assert!(output.actions.iter().any(is_write), "{output:?}");
}

#[test]
fn an_older_record_never_replaces_a_newer_one() {
    let (mut policy, times) = lone_node();
    let (now, wall) = times(2);
    let older = known_step(0, 4, Duration::from_secs(2));
    policy.step(now, wall, RolloutInput::PeerRecord(older));
    assert_eq!(
        policy.known_record().map(|known| known.record.step),
        Some(1)
    );
}

/// Queries of a route that all went to the old version, though the new one has a share.
#[test]
fn a_version_that_gets_no_queries_does_not_pass_by_time_alone() {
    let (mut policy, times) = lone_node();
    let (now, wall) = times(10);
    for _ in 0..1_000 {
        let observation = QueryObservation {
            version: "old".into(),
            route: "search".into(),
            domain: "north".into(),
            failed: false,
            shed: false,
            latency: Duration::from_millis(20),
        };
        policy.step(now, wall, RolloutInput::QueryEnded(observation));
    }
    let is_write = |action: &RolloutAction| matches!(action, RolloutAction::Write { .. });
    let (now, wall) = times(150);
    let confirmed = known_step(1, 5, Duration::from_secs(150));
    let output = policy.step(now, wall, RolloutInput::RecordRead(confirmed));
    assert!(!output.actions.iter().any(is_write), "{output:?}");
}
