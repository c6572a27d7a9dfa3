//! Times at which a request sends hedges, answers and ends.

use crate::LatencyWindow;
use std::time::Duration;

/// Factors and margins from which [`AnswerTiming`] is computed.
#[derive(Clone, Copy, Debug)]
pub struct TimingSettings {
    /// Time reserved for the network between caller and node. Covers two round trips of 6 ms, one
    /// of them to open a connection, and timers that fire late on a busy core.
    pub caller_margin: Duration,
    /// A hedge is sent once an attempt takes longer than the 90 % latency quantile times this
    /// factor.
    pub hedge_factor: f64,
    /// A hedge is sent no earlier than the median latency times this factor.
    pub median_factor: f64,
    /// A hedge is sent no later than [`AnswerTiming::answer`] times this factor.
    pub latest_hedge: f64,
    /// While there are too few latencies for quantiles, a hedge is sent at [`AnswerTiming::answer`]
    /// times this factor.
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

/// Times of one request, measured from its arrival at the node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerTiming {
    /// Time at which each service without an answer gets a hedge.
    pub hedge: Duration,
    /// Time from which the node no longer waits for missing parts if it has received enough.
    pub answer: Duration,
    /// Time at which the request ends, whatever has been received.
    pub end: Duration,
}

impl AnswerTiming {
    /// Computes the times of a request that should be answered within `objective` and whose caller
    /// waits for `deadline` at most.
    pub fn new(
        settings: &TimingSettings,
        latencies: &LatencyWindow,
        objective: Duration,
        deadline: Duration,
    ) -> Self {
        // The margin takes at most 35 % of a short objective, so that most of it is left for the
        // shards.
        let margin = settings.caller_margin.min(objective.mul_f64(0.35));
        let end = deadline.saturating_sub(margin.min(deadline / 4));
        let answer = objective.saturating_sub(margin).min(end);
        let hedge = match (latencies.median(), latencies.p90()) {
            (Some(median), Some(p90)) => p90
                .mul_f64(settings.hedge_factor)
                .max(median.mul_f64(settings.median_factor))
                .min(answer.mul_f64(settings.latest_hedge)),
            _ => answer.mul_f64(settings.unknown_hedge),
        };
        Self { hedge, answer, end }
    }
}
