//! Runs a simulation with many seeds on several threads.

use super::{FleetSettings, RolloutFleet, RunReport};

const THREADS: u64 = 4;

/// Runs the same settings with each seed from 0 up to, not including, `count`.
///
/// The reports are in the order of the seeds.
pub fn run_seeds(count: u64, settings: &FleetSettings) -> Vec<RunReport> {
    run_each_seed(count, |_| settings.clone())
}

/// Runs each seed from 0 up to, not including, `count` with its own settings.
///
/// The reports are in the order of the seeds.
pub fn run_each_seed(count: u64, settings: impl Fn(u64) -> FleetSettings + Sync) -> Vec<RunReport> {
    let settings = &settings;
    let run = move |thread: u64| -> Vec<RunReport> {
        (thread..count)
            .step_by(THREADS as usize)
            .map(|seed| {
                let settings = FleetSettings {
                    seed,
                    ..settings(seed)
                };
                RolloutFleet::new(settings).run()
            })
            .collect()
    };
    let mut reports: Vec<RunReport> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || run(thread)))
            .collect();
        let joined = threads.into_iter().map(|thread| thread.join().unwrap());
        joined.flatten().collect()
    });
    reports.sort_by_key(|report| report.seed);
    reports
}

/// Returns the seeds of the reports that fail a check.
pub fn failing_seeds(reports: &[RunReport], is_expected: impl Fn(&RunReport) -> bool) -> Vec<u64> {
    let failing = reports.iter().filter(|report| !is_expected(report));
    failing.map(|report| report.seed).collect()
}
