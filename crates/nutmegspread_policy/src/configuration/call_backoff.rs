//! Backoff between calls to the platform.

use nutmegspread_model::MonotonicTime;
use rand::Rng;
use std::time::Duration;

/// Exponential backoff with jitter between calls of one kind.
///
/// The delay doubles with each call, up to a maximum, and is reset when the platform answers.
#[derive(Clone, Debug)]
pub struct CallBackoff {
    minimum: Duration,
    maximum: Duration,
    /// Delay after the next call, before jitter.
    delay: Duration,
    /// Earliest time of the next call.
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

    /// Records a call made at `now`: the next one is allowed after a random 50 to 100 % of the
    /// delay, and the delay doubles.
    pub fn record_call<R: Rng>(&mut self, now: MonotonicTime, rng: &mut R) {
        self.next = now + self.delay.mul_f64(rng.random_range(0.5..1.0));
        self.delay = (self.delay * 2).min(self.maximum);
    }

    /// Resets the delay to its minimum, as the platform has answered; the time of the next call
    /// stays.
    pub fn record_answer(&mut self) {
        self.delay = self.minimum;
    }

    /// Allows the next call at once.
    pub fn allow_now(&mut self, now: MonotonicTime) {
        self.next = self.next.min(now);
    }

    /// Delays the next call until at least a random 50 to 100 % of `wait` has passed from `now`.
    pub fn postpone<R: Rng>(&mut self, now: MonotonicTime, wait: Duration, rng: &mut R) {
        self.next = self
            .next
            .max(now + wait.mul_f64(rng.random_range(0.5..1.0)));
    }
}
