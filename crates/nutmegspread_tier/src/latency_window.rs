//! Quantiles over the most recent latencies of a route.

use std::time::Duration;

/// Samples that a window keeps.
const WINDOW_SAMPLES: usize = 512;
/// New samples after which the quantiles are worked out anew.
const REFRESH_SAMPLES: usize = 64;
/// Samples below which the window reports no quantiles.
const LEAST_SAMPLES: usize = 20;

/// A ring of recent latencies with cached quantiles.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    samples: Vec<u32>,
    next: usize,
    fresh: usize,
    median: u32,
    high: u32,
}

impl LatencyWindow {
    /// Adds one latency.
    pub fn add(&mut self, latency: Duration) {
        let micros = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        if self.samples.len() < WINDOW_SAMPLES {
            self.samples.push(micros);
        } else {
            self.samples[self.next] = micros;
            self.next = (self.next + 1) % WINDOW_SAMPLES;
        }
        self.fresh += 1;
        if self.fresh >= REFRESH_SAMPLES || self.samples.len() == LEAST_SAMPLES {
            self.refresh();
        }
    }

    /// The median, once there are enough samples.
    pub fn median(&self) -> Option<Duration> {
        (self.samples.len() >= LEAST_SAMPLES).then(|| Duration::from_micros(self.median.into()))
    }

    /// The 90 % quantile, once there are enough samples.
    pub fn p90(&self) -> Option<Duration> {
        (self.samples.len() >= LEAST_SAMPLES).then(|| Duration::from_micros(self.high.into()))
    }

    fn refresh(&mut self) {
        self.fresh = 0;
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        self.median = sorted[sorted.len() / 2];
        self.high = sorted[sorted.len() * 9 / 10];
    }
}
