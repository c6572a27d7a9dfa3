//! Quantiles of the most recent latencies.

use std::time::Duration;

/// Largest number of samples in a window; a further one replaces the oldest.
const WINDOW_SAMPLES: usize = 512;
/// Number of new samples after which the cached quantiles are computed again.
const REFRESH_SAMPLES: usize = 64;
/// Number of samples below which the window reports no quantiles.
const MINIMUM_SAMPLES: usize = 20;

/// Ring buffer of recent latencies, with cached quantiles.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    /// Latencies in microseconds.
    samples: Vec<u32>,
    /// Index that the next sample overwrites once the buffer is full.
    next_index: usize,
    /// Samples added since the quantiles were computed.
    fresh_count: usize,
    /// Median at the last computation, in microseconds.
    median: u32,
    /// 90 % quantile at the last computation, in microseconds.
    p90: u32,
}

impl LatencyWindow {
    /// Adds one latency.
    pub fn add(&mut self, latency: Duration) {
        let micros = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        if self.samples.len() < WINDOW_SAMPLES {
            self.samples.push(micros);
        } else {
            self.samples[self.next_index] = micros;
            self.next_index = (self.next_index + 1) % WINDOW_SAMPLES;
        }
        self.fresh_count += 1;
        if self.fresh_count >= REFRESH_SAMPLES || self.samples.len() == MINIMUM_SAMPLES {
            self.update_quantiles();
        }
    }

    /// The median when last computed; `None` while there are too few samples.
    pub fn median(&self) -> Option<Duration> {
        (self.samples.len() >= MINIMUM_SAMPLES).then(|| Duration::from_micros(self.median.into()))
    }

    /// The 90 % quantile when last computed; `None` while there are too few samples.
    pub fn p90(&self) -> Option<Duration> {
        (self.samples.len() >= MINIMUM_SAMPLES).then(|| Duration::from_micros(self.p90.into()))
    }

    fn update_quantiles(&mut self) {
        self.fresh_count = 0;
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        self.median = sorted[sorted.len() / 2];
        self.p90 = sorted[sorted.len() * 9 / 10];
    }
}
