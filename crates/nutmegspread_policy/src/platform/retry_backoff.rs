//! Exponential backoff with jitter.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Bounds of the delay before a retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Upper bound of the delay after the first failure.
    pub first: Duration,
    /// Upper bound of every delay.
    pub ceiling: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(100),
            ceiling: Duration::from_secs(10),
        }
    }
}

/// Computes the delay before each retry: a random time, uniform between a quarter of an upper bound
/// and the whole bound.
///
/// The bound doubles with each failure. The wide jitter prevents many processes whose calls failed
/// at the same time from retrying at the same time.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    settings: BackoffSettings,
    /// Number of failures since the last success.
    failures: u32,
    random: SmallRng,
}

impl RetryBackoff {
    /// Creates a backoff without failures; equal seeds give equal delays.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self {
            settings,
            failures: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failure and returns the delay before the next retry.
    pub fn record_failure(&mut self) -> Duration {
        let factor = 1_u32.checked_shl(self.failures.min(31)).unwrap_or(u32::MAX);
        self.failures = self.failures.saturating_add(1);
        let bound = self
            .settings
            .first
            .saturating_mul(factor)
            .min(self.settings.ceiling);
        bound.mul_f64(self.random.random_range(0.25..=1.0))
    }

    /// Records a success, which resets the bound to [`BackoffSettings::first`].
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}
