//! Platform calls stay within their budget, and processes do not retry at the same time.

use nutmegspread_policy::platform::{BackoffSettings, BudgetSettings, CallBudget, RetryBackoff};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

#[test]
fn no_time_window_exceeds_burst_and_rate() {
    for seed in 0..500 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let settings = BudgetSettings {
            calls_per_second: random.random_range(0.5..50.0),
            burst: random.random_range(1.0..20.0),
        };
        let mut budget = CallBudget::new(settings.clone(), Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut granted_times = Vec::new();
        for _ in 0..400 {
            now += Duration::from_micros(random.random_range(0..100_000));
            let is_ready = budget.ready_at(now) <= now;
            let is_granted = budget.take(now);
            assert_eq!(
                is_granted, is_ready,
                "seed {seed}: `ready_at` and `take` disagree at {now:?}"
            );
            if is_granted {
                granted_times.push(now);
            }
        }
        for (first, start) in granted_times.iter().enumerate() {
            for (last, end) in granted_times.iter().enumerate().skip(first) {
                let calls = (last - first + 1) as f64;
                let elapsed = (*end - *start).as_secs_f64();
                let allowed = settings.burst + settings.calls_per_second * elapsed + 1e-6;
                assert!(
                    calls <= allowed,
                    "seed {seed}: {calls} calls in {elapsed} s"
                );
            }
        }
    }
}

#[test]
fn processes_that_failed_together_retry_at_different_times() {
    const CALLERS: u64 = 63;
    const OUTAGE: Duration = Duration::from_secs(600);
    let settings = BackoffSettings::default();
    let mut retry_times: Vec<Duration> = (0..CALLERS)
        .map(|seed| {
            let mut backoff = RetryBackoff::new(settings.clone(), seed);
            let mut now = Duration::ZERO;
            while now < OUTAGE {
                let delay = backoff.record_failure();
                assert!(delay <= settings.ceiling && delay >= settings.first / 4);
                now += delay;
            }
            now - OUTAGE
        })
        .collect();
    retry_times.sort();
    assert!(retry_times[retry_times.len() - 1] <= settings.ceiling);
    let count_within = |start: Duration| {
        let end = start + Duration::from_secs(1);
        retry_times
            .iter()
            .filter(|time| (start..end).contains(*time))
            .count()
    };
    let largest_group = retry_times
        .iter()
        .map(|start| count_within(*start))
        .max()
        .unwrap_or_default();
    assert!(
        largest_group <= 20,
        "{largest_group} of {CALLERS} callers retry within one second"
    );
}
