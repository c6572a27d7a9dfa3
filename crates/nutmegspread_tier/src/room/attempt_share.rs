//! Share of recent attempts with a property, such as being rejected.

use std::time::{Duration, Instant};

/// Time constant with which counts are forgotten.
const DECAY_TIME: Duration = Duration::from_millis(300);
/// Number of attempts in the decayed count below which the share says nothing.
const LEAST_ATTEMPTS: f64 = 8.0;

/// Share of recent attempts with a property, such as being rejected.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptShare {
    attempts: f64,
    /// Attempts with the property.
    matching: f64,
    updated: Option<Instant>,
}

impl AttemptShare {
    /// Counts the end of an attempt, which has the property or not.
    pub fn record(&mut self, now: Instant, is_matching: bool) {
        let kept = self.kept(now);
        self.attempts = self.attempts * kept + 1.0;
        self.matching = self.matching * kept + f64::from(u8::from(is_matching));
        self.updated = Some(now);
    }

    /// The share, from 0 to 1; 0 if there were few attempts lately.
    pub fn share(&self, now: Instant) -> f64 {
        if self.attempts * self.kept(now) < LEAST_ATTEMPTS {
            return 0.0;
        }
        self.matching / self.attempts
    }

    fn kept(&self, now: Instant) -> f64 {
        let age = self.updated.map_or(Duration::ZERO, |updated| {
            now.saturating_duration_since(updated)
        });
        (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
