//! Calls to the platform stay within their budget, and processes do not return in step.

use nutmegspread_policy::platform::{BackoffSettings, BudgetSettings, CallBudget, RetryBackoff};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

#[test]
fn no_stretch_of_time_exceeds_burst_and_rate() {
    for seed in 0..500 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let settings = BudgetSettings {
            calls_per_second: random.random_range(0.5..50.0),
            burst: random.random_range(1.0..20.0),
        };
        let mut budget = CallBudget::new(settings.clone(), Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut granted = Vec::new();
        for _ in 0..400 {
            now += Duration::from_micros(random.random_range(0..100_000));
            let promised = budget.ready_at(now) <= now;
            let taken = budget.take(now);
            assert_eq!(
                taken, promised,
                "seed {seed}: ready_at and take disagree at {now:?}"
            );
            if taken {
                granted.push(now);
            }
        }
        for (first, start) in granted.iter().enumerate() {
            for (last, end) in granted.iter().enumerate().skip(first) {
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
fn processes_that_failed_together_return_apart() {
    const CALLERS: u64 = 63;
    const OUTAGE: Duration = Duration::from_secs(600);
    let settings = BackoffSettings::default();
    let mut returns: Vec<Duration> = (0..CALLERS)
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
    returns.sort();
    assert!(returns[returns.len() - 1] <= settings.ceiling);
    let within = |start: Duration| {
        let end = start + Duration::from_secs(1);
        returns
            .iter()
            .filter(|time| (start..end).contains(*time))
            .count()
    };
    let most = returns
        .iter()
        .map(|start| within(*start))
        .max()
        .unwrap_or_default();
    assert!(
        most <= 20,
        "{most} of {CALLERS} callers return within one second"
    );
}
