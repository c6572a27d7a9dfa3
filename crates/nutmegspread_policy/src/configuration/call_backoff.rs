//! Backoff between calls to the platform.

use nutmegspread_model::MonotonicTime;
use rand::Rng;
use std::time::Duration;

/// Exponential backoff with jitter: the delay doubles with each call until one is answered.
#[derive(Clone, Debug)]
pub struct CallBackoff {
    minimum: Duration,
    maximum: Duration,
    delay: Duration,
    next: MonotonicTime,
}

impl CallBackoff {
    /// Creates a backoff that allows the first call at `now`.
    pub fn new(now: MonotonicTime, minimum: Duration, maximum: Duration) -> Self {
        Self {
            minimum,
            maximum,
            delay: minimum,
            next: now,
        }
    }

    /// Whether the next call is allowed at `now`.
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.next
    }

    /// The earliest time of the next call.
    pub fn next_call_at(&self) -> MonotonicTime {
        self.next
    }

    /// Records a call, allows the next one after 50 to 100 % of the delay, and doubles the delay.
    pub fn record_call<R: Rng>(&mut self, now: MonotonicTime, rng: &mut R) {
        self.next = now + self.delay.mul_f64(rng.random_range(0.5..1.0));
        self.delay = (self.delay * 2).min(self.maximum);
    }

    /// Resets the delay to its minimum after the platform has answered.
    pub fn record_answer(&mut self) {
        self.delay = self.minimum;
    }

    /// Allows the next call at once.
    pub fn allow_now(&mut self, now: MonotonicTime) {
        self.next = self.next.min(now);
    }

    /// Allows the next call no earlier than 50 to 100 % of `wait` from `now`.
    pub fn postpone<R: Rng>(&mut self, now: MonotonicTime, wait: Duration, rng: &mut R) {
        self.next = self
            .next
            .max(now + wait.mul_f64(rng.random_range(0.5..1.0)));
    }
}
