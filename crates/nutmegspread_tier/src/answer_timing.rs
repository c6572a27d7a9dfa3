//! When a gather answers and when it sends a second time.

use crate::LatencyWindow;
use std::time::Duration;

/// Shares and margins of the times that a gather keeps to.
#[derive(Clone, Copy, Debug)]
pub struct TimingSettings {
    /// Time that an answer needs to the caller, and that its request took to here: two round trips
    /// of 6 ms, one of them for a new connection, and what timers fire late on a busy core.
    pub caller_margin: Duration,
    /// Second sends go out after the 90 % quantile times this factor.
    pub hedge_factor: f64,
    /// Second sends wait for at least the median times this factor.
    pub median_factor: f64,
    /// Second sends go out no later than this share of the time up to the answer.
    pub latest_hedge: f64,
    /// Share of that time used before any latency is known.
    pub unknown_hedge: f64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            caller_margin: Duration::from_millis(18),
            hedge_factor: 1.15,
            median_factor: 1.6,
            latest_hedge: 0.5,
            unknown_hedge: 0.35,
        }
    }
}

/// The times of one request, counted from its arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerTiming {
    /// A shard without an answer gets a second send.
    pub hedge: Duration,
    /// An answer with enough parts goes out.
    pub answer: Duration,
    /// The request ends whatever is in.
    pub end: Duration,
}

impl AnswerTiming {
    /// Works out the times of a request whose caller waits for `deadline`.
    pub fn new(
        settings: &TimingSettings,
        latencies: &LatencyWindow,
        objective: Duration,
        deadline: Duration,
    ) -> Self {
        // Short objectives keep most of their time for the shards.
        let margin = settings.caller_margin.min(objective.mul_f64(0.35));
        let end = deadline.saturating_sub(margin.min(deadline / 4));
        let answer = objective.saturating_sub(margin).min(end);
        let hedge = match (latencies.median(), latencies.p90()) {
            (Some(median), Some(high)) => high
                .mul_f64(settings.hedge_factor)
                .max(median.mul_f64(settings.median_factor))
                .min(answer.mul_f64(settings.latest_hedge)),
            _ => answer.mul_f64(settings.unknown_hedge),
        };
        Self { hedge, answer, end }
    }
}
