//! Latency of a route's requests when nothing waits.

use std::time::{Duration, Instant};

/// Weight of a latency below the estimate.
const WEIGHT_BELOW: f64 = 0.1;
/// Weight of a latency above the estimate, which may contain waiting.
const WEIGHT_ABOVE: f64 = 0.02;
/// Largest rise of the estimate in a second, as a fraction of it. Under load a node gets a thousand
/// answers of targets a second, and would soon take a queue for normal.
const RISE_PER_SECOND: f64 = 0.02;
/// Largest latency that counts, as a multiple of the estimate: a queue that has just begun to stand
/// does not show in the level yet.
const LARGEST_RATIO: f64 = 2.0;
/// Largest estimate as a fraction of the objective. A node that starts under load never sees a calm
/// latency, and would otherwise take a queue for normal.
const LARGEST_FRACTION: f64 = 0.5;

/// Latency of a route's requests when nothing waits: a low quantile of the recent latencies.
///
/// Source of the idea: the base round-trip time of TCP Vegas, Brakmo and Peterson, 1994. A minimum
/// would keep the latency of the cheapest request for good.
#[derive(Clone, Copy, Debug, Default)]
pub struct CalmLatency {
    /// In seconds.
    estimate: Option<f64>,
    /// Time of the last latency.
    updated: Option<Instant>,
}

impl CalmLatency {
    /// Adds a latency. While the targets are not calm, latencies above the estimate are left out.
    pub fn record(&mut self, now: Instant, latency: Duration, objective: Duration, is_calm: bool) {
        let updated = self.updated.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(updated).as_secs_f64();
        let latency = latency.as_secs_f64();
        let largest = objective.as_secs_f64() * LARGEST_FRACTION;
        let estimate = match self.estimate {
            None => latency,
            Some(estimate) if latency < estimate => estimate + WEIGHT_BELOW * (latency - estimate),
            Some(estimate) if is_calm => {
                let latency = latency.min(estimate * LARGEST_RATIO);
                let largest_rise = estimate * RISE_PER_SECOND * elapsed;
                estimate + (WEIGHT_ABOVE * (latency - estimate)).min(largest_rise)
            }
            Some(estimate) => estimate,
        };
        self.estimate = Some(estimate.min(largest));
    }

    /// The estimate; `None` before the first latency.
    pub fn estimate(&self) -> Option<Duration> {
        self.estimate.map(Duration::from_secs_f64)
    }

    /// Time by which a latency exceeds the estimate.
    pub fn excess(&self, latency: Duration) -> Duration {
        latency.saturating_sub(self.estimate().unwrap_or(latency))
    }
}
