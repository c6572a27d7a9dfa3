//! Times at which a node sends hedges for a request, answers it and gives it up.

use crate::LatencyWindow;
use std::time::Duration;

/// Factors and margins from which [`AnswerTiming`] is computed.
#[derive(Clone, Copy, Debug)]
pub struct TimingSettings {
    /// Time reserved for the network between caller and node. The default covers two round trips
    /// of 6 ms, one of them to open a connection, and timers that fire late on a busy core.
    pub caller_margin: Duration,
    /// A hedge is sent once a request is unanswered for longer than the 90 % quantile of recent
    /// latencies times this factor.
    pub p90_factor: f64,
    /// A hedge is sent no earlier than the median of recent latencies times this factor.
    pub median_factor: f64,
    /// A hedge is sent no later than [`AnswerTiming::answer`] times this factor.
    pub latest_factor: f64,
    /// While too few latencies are known for quantiles, a hedge is sent at
    /// [`AnswerTiming::answer`] times this factor.
    pub initial_factor: f64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            caller_margin: Duration::from_millis(18),
            p90_factor: 1.15,
            median_factor: 1.6,
            latest_factor: 0.5,
            initial_factor: 0.35,
        }
    }
}

/// Times of one request, measured from its arrival at the node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerTiming {
    /// Time at which a hedge is sent to each service that has not answered, if the request may run
    /// more than once.
    pub hedge: Duration,
    /// Time from which the node answers the caller as soon as it has enough parts of the answer,
    /// without waiting for the others.
    pub answer: Duration,
    /// Time at which the node stops waiting and answers the caller, with an error if it has
    /// received too few parts.
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
        // The margin takes at most 35 % of a short objective, so that most of the objective is left
        // for the targets. For the same reason it takes at most a quarter of a short deadline.
        let margin = settings.caller_margin.min(objective.mul_f64(0.35));
        let end = deadline.saturating_sub(margin.min(deadline / 4));
        let answer = objective.saturating_sub(margin).min(end);
        let hedge = match (latencies.median(), latencies.p90()) {
            (Some(median), Some(p90)) => p90
                .mul_f64(settings.p90_factor)
                .max(median.mul_f64(settings.median_factor))
                .min(answer.mul_f64(settings.latest_factor)),
            _ => answer.mul_f64(settings.initial_factor),
        };
        Self { hedge, answer, end }
    }
}
