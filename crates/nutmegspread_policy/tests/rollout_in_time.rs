//! Good versions finish in time, at low traffic too, and are not taken back.

mod rollout_bench;

use rollout_bench::{FleetSettings, RunReport, run_seeds};

const SEEDS: u64 = 200;
/// Seeds of 100 that may fail.
const ALLOWED_FAILURES: u64 = 1;

fn assert_finishes(name: &str, settings: &FleetSettings) {
    let reports = run_seeds(SEEDS, settings);
    let wrong: Vec<&RunReport> = reports
        .iter()
        .filter(|report| !report.is_done() || !report.violations.is_empty())
        .collect();
    let braked = wrong.iter().filter(|report| report.first_brake.is_some());
    let slowest = reports.iter().filter_map(|report| report.settled_at).max();
    println!(
        "{name}: {} of {SEEDS} not done, {} braked",
        wrong.len(),
        braked.count()
    );
    println!("{name}: slowest done after {slowest:?}");
    let first = wrong.first();
    let allowed = SEEDS * ALLOWED_FAILURES / 100;
    assert!(
        wrong.len() as u64 <= allowed,
        "{name}: first wrong: {first:#?}"
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
