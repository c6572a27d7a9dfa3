//! The status that nodes report to operators is correct under every simulated fault, and all nodes
//! come to the same result.
//!
//! Ten times per second of virtual time, the simulation compares the state that each node reports
//! with the store:
//!
//! - A node reports a rollout as done or rolled back only if the record in the store says so.
//! - A final record never changes.
//! - A rollout whose finished record the store accepted after the time limit is never done.
//! - After the time limit, no node gives queries to the new version unless the rollout is done.

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

/// Whether the rollout ended, and all nodes report the state in the store and have its share.
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
        "{name}: {done} of {} done, the others rolled back",
        reports.len()
    );
    let failing = failing_seeds(reports, is_agreed);
    let first = failing.first().map(|seed| &reports[*seed as usize]);
    assert!(
        failing.is_empty(),
        "{name}: seeds {failing:?}, first: {first:#?}"
    );
}

fn random_fault(rng: &mut Pcg64Mcg) -> VersionFault {
    let faults = [
        VersionFault::None,
        VersionFault::FailsAtOnce,
        VersionFault::FailsLate(rng.random_range(5..60)),
        VersionFault::FailsUnderLoad(0.5),
        VersionFault::FailsOnRoute(1),
    ];
    faults[rng.random_range(0..faults.len())]
}

fn lossy_store(rng: &mut Pcg64Mcg) -> StoreFaults {
    StoreFaults {
        outage: None,
        lost_answers: rng.random_range(0.0..0.7),
        late_writes: rng.random_range(0.0..0.5),
    }
}

#[test]
fn statements_are_correct_when_answers_are_lost_and_writes_are_late() {
    let reports = run_each_seed(SEEDS, |seed| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        FleetSettings {
            fault: random_fault(&mut rng),
            store: lossy_store(&mut rng),
            end: END,
            ..FleetSettings::default()
        }
    });
    assert_agreed("lossy store", &reports);
}

#[test]
fn statements_are_correct_when_the_store_is_down_around_the_limit() {
    let reports = run_each_seed(SEEDS, |seed| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let from = rng.random_range(40..LIMIT_SECOND);
        let until = from + rng.random_range(5..80);
        FleetSettings {
            rates: vec![0.4],
            store: StoreFaults {
                outage: Some(from..until),
                ..lossy_store(&mut rng)
            },
            end: END,
            ..FleetSettings::default()
        }
    });
    assert_agreed("store down around the limit", &reports);
}

#[test]
fn statements_are_correct_when_coordinators_pause_race_and_restart() {
    let reports = run_each_seed(SEEDS, |seed| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let pauses = (0..4).map(|_| random_pause(&mut rng)).collect();
        let restarts = (0..2).map(|_| random_restart(&mut rng)).collect();
        FleetSettings {
            fault: random_fault(&mut rng),
            store: lossy_store(&mut rng),
            limits: concurrent_writes(),
            pauses,
            restarts,
            end: END,
            ..FleetSettings::default()
        }
    });
    assert_agreed("paused and racing", &reports);
}

/// Limits without a lease and without a delay between nodes, so that all nodes write at the same
/// time.
fn concurrent_writes() -> RolloutLimits {
    RolloutLimits {
        lease: Duration::ZERO,
        stagger: Duration::ZERO,
        ..Default::default()
    }
}

fn random_pause(rng: &mut Pcg64Mcg) -> NodePause {
    let from = rng.random_range(2..LIMIT_SECOND);
    NodePause {
        node: rng.random_range(0..NODES),
        seconds: from..from + rng.random_range(1..40),
    }
}

fn random_restart(rng: &mut Pcg64Mcg) -> NodeRestart {
    NodeRestart {
        node: rng.random_range(0..NODES),
        second: rng.random_range(2..LIMIT_SECOND),
    }
}

#[test]
fn a_write_applied_after_the_limit_is_never_done() {
    let reports = run_each_seed(SEEDS, |seed| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut settings = FleetSettings {
            store: StoreFaults {
                late_writes: 0.8,
                ..StoreFaults::default()
            },
            end: END,
            ..FleetSettings::default()
        };
        let reduction = Duration::from_secs(rng.random_range(85..115));
        settings.rollout.finish_by -= reduction;
        settings
    });
    assert_agreed("late writes near the limit", &reports);
    assert!(reports.iter().any(RunReport::is_done));
    assert!(reports.iter().any(RunReport::is_rolled_back));
}

#[test]
fn nodes_without_the_store_stop_on_time_and_report_that_it_is_not_recorded() {
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
        "the share changed without a confirmation of the record"
    );
    assert!(share > 0.0);
    fleet.run_until(Duration::from_secs(LIMIT_SECOND));
    let report = fleet.into_report();
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

/// A node that has read a record at step 1 one second after the start, and a function that returns
/// the monotonic and the wall-clock time of a second of the run.
fn node_at_step_one() -> (RolloutPolicy, impl Fn(u64) -> (Duration, SystemTime)) {
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
fn a_record_confirmed_long_ago_does_not_raise_the_share() {
    let (mut policy, times) = node_at_step_one();
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
    let (mut policy, times) = node_at_step_one();
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
    let (mut policy, times) = node_at_step_one();
    let (now, wall) = times(2);
    let older = known_step(0, 4, Duration::from_secs(2));
    policy.step(now, wall, RolloutInput::PeerRecord(older));
    assert_eq!(
        policy.known_record().map(|known| known.record.step),
        Some(1)
    );
}

/// The old version serves all queries of a route although the new one has a share, as when the
/// targets of the new version are unreachable.
#[test]
fn a_version_that_gets_no_queries_does_not_advance_by_time_alone() {
    let (mut policy, times) = node_at_step_one();
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
