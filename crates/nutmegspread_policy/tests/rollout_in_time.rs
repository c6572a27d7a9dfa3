//! The rollout of a good version finishes in time, with little traffic too, and is not rolled back.

mod rollout_bench;

use rollout_bench::{FleetSettings, RunReport, run_seeds};

const SEEDS: u64 = 200;
/// Number of failing seeds per 100 that is allowed.
const ALLOWED_FAILURES: u64 = 1;

fn assert_finishes(name: &str, settings: &FleetSettings) {
    let reports = run_seeds(SEEDS, settings);
    let failing: Vec<&RunReport> = reports
        .iter()
        .filter(|report| !report.is_done() || !report.violations.is_empty())
        .collect();
    let with_brake = failing.iter().filter(|report| report.first_brake.is_some());
    let slowest = reports.iter().filter_map(|report| report.settled_at).max();
    println!(
        "{name}: {} of {SEEDS} not done or with a violation, {} with a brake",
        failing.len(),
        with_brake.count()
    );
    println!("{name}: slowest rollout settled after {slowest:?}");
    let first = failing.first();
    let allowed = SEEDS * ALLOWED_FAILURES / 100;
    assert!(
        failing.len() as u64 <= allowed,
        "{name}: first failing seed: {first:#?}"
    );
}

#[test]
fn a_good_version_finishes_in_time() {
    assert_finishes("usual traffic", &FleetSettings::default());
}

#[test]
fn a_good_version_finishes_at_low_traffic() {
    let settings = FleetSettings {
        rates: vec![0.5, 0.05],
        ..FleetSettings::default()
    };
    assert_finishes("low traffic", &settings);
}

#[test]
fn a_good_version_finishes_with_no_traffic() {
    let settings = FleetSettings {
        rates: vec![0.0],
        ..FleetSettings::default()
    };
    assert_finishes("no traffic", &settings);
}

#[test]
fn a_good_version_finishes_with_seven_nodes_and_lost_messages() {
    let settings = FleetSettings {
        nodes: 7,
        domains: 4,
        gossip_loss: 0.5,
        ..FleetSettings::default()
    };
    assert_finishes("seven nodes", &settings);
}
