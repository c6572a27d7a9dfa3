//! Recent latencies of the attempts of a service.

use hdrhistogram::Histogram;
use nutmegspread_model::MonotonicTime;
use std::time::Duration;

/// Largest latency that the histogram records, in microseconds; larger latencies are recorded as
/// this value.
const MAX_MICROS: u64 = 60_000_000;
/// With fewer samples than this, no quantile is computed.
const MIN_SAMPLES: u64 = 100;
/// When the newer half holds this many samples, it replaces the older half.
const HALF_WINDOW_SAMPLES: u64 = 20_000;
/// Time for which a computed quantile is cached.
const QUANTILE_CACHE_TIME: Duration = Duration::from_millis(50);

/// A sliding window of latencies in two halves, and a cached quantile of them.
#[derive(Clone, Debug)]
pub(super) struct LatencyWindow {
    newer: Histogram<u32>,
    older: Histogram<u32>,
    /// When a quantile was last computed, and its value; the value is `None` if there were too few
    /// samples.
    quantile: Option<(MonotonicTime, Option<Duration>)>,
}

impl LatencyWindow {
    pub(super) fn new() -> Self {
        let empty = Histogram::new_with_bounds(1, MAX_MICROS, 2);
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

    /// Latency below which the given fraction of the samples lies, 0 to 1; `None` if there are too
    /// few samples.
    ///
    /// While a cached value is recent, it is returned even if it was computed for another fraction.
    pub(super) fn quantile(&mut self, now: MonotonicTime, fraction: f64) -> Option<Duration> {
        if let Some((computed_at, latency)) = self.quantile
            && now < computed_at + QUANTILE_CACHE_TIME
        {
            return latency;
        }
        let latency = self.compute_quantile(fraction);
        self.quantile = Some((now, latency));
        latency
    }

    fn compute_quantile(&self, fraction: f64) -> Option<Duration> {
        if self.newer.len() + self.older.len() < MIN_SAMPLES {
            return None;
        }
        let mut both = self.newer.clone();
        both.add(&self.older).ok()?;
        Some(Duration::from_micros(both.value_at_quantile(fraction)))
    }
}
