//! Recent sub-request latencies of a service.

use hdrhistogram::Histogram;
use nutmegspread_model::MonotonicTime;
use std::time::Duration;

/// Largest latency told apart, in microseconds.
const LARGEST_MICROS: u64 = 60_000_000;
/// Samples below which no quantile is given.
const LEAST_SAMPLES: u64 = 100;
/// Samples after which the older half of the window is dropped.
const HALF_WINDOW_SAMPLES: u64 = 20_000;
/// Time for which a computed quantile is used again.
const QUANTILE_KEPT_FOR: Duration = Duration::from_millis(50);

/// Two halves of a sliding window and the quantile computed last.
#[derive(Clone, Debug)]
pub(super) struct LatencyWindow {
    newer: Histogram<u32>,
    older: Histogram<u32>,
    quantile: Option<(MonotonicTime, Option<Duration>)>,
}

impl LatencyWindow {
    pub(super) fn new() -> Self {
        let empty = Histogram::new_with_bounds(1, LARGEST_MICROS, 2);
        let empty = empty.expect("bounds and digits are valid constants");
        Self {
            newer: empty.clone(),
            older: empty,
            quantile: None,
        }
    }

    pub(super) fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.newer.saturating_record(micros.max(1));
        if self.newer.len() >= HALF_WINDOW_SAMPLES {
            std::mem::swap(&mut self.newer, &mut self.older);
            self.newer.reset();
        }
    }

    /// Latency below which the given fraction of samples lies; `None` with too few samples.
    pub(super) fn quantile(&mut self, now: MonotonicTime, fraction: f64) -> Option<Duration> {
        if let Some((computed_at, latency)) = self.quantile
            && now < computed_at + QUANTILE_KEPT_FOR
        {
            return latency;
        }
        let latency = self.compute(fraction);
        self.quantile = Some((now, latency));
        latency
    }

    fn compute(&self, fraction: f64) -> Option<Duration> {
        if self.newer.len() + self.older.len() < LEAST_SAMPLES {
            return None;
        }
        let mut both = self.newer.clone();
        both.add(&self.older).ok()?;
        Some(Duration::from_micros(both.value_at_quantile(fraction)))
    }
}
