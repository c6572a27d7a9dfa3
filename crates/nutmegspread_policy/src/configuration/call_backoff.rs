//! Waits between calls to the platform.

use nutmegspread_model::MonotonicTime;
use rand::Rng;
use std::time::Duration;

/// Jittered waits that double with each call until an answer comes.
#[derive(Clone, Debug)]
pub struct CallBackoff {
    minimum: Duration,
    maximum: Duration,
    delay: Duration,
    next: MonotonicTime,
}

impl CallBackoff {
    /// The first call may go out at `now`.
    pub fn new(now: MonotonicTime, minimum: Duration, maximum: Duration) -> Self {
        Self {
            minimum,
            maximum,
            delay: minimum,
            next: now,
        }
    }

    /// Whether a call may go out.
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.next
    }

    /// When the next call may go out.
    pub fn next(&self) -> MonotonicTime {
        self.next
    }

    /// Records a call; the next one waits between half and all of the delay.
    pub fn record_call<R: Rng>(&mut self, now: MonotonicTime, rng: &mut R) {
        self.next = now + self.delay.mul_f64(rng.random_range(0.5..1.0));
        self.delay = (self.delay * 2).min(self.maximum);
    }

    /// Records an answer, after which waits are short again.
    pub fn record_answer(&mut self) {
        self.delay = self.minimum;
    }

    /// Lets the next call go out at once.
    pub fn hurry(&mut self, now: MonotonicTime) {
        self.next = self.next.min(now);
    }

    /// Holds the next call back for between half and all of a time.
    pub fn postpone<R: Rng>(&mut self, now: MonotonicTime, wait: Duration, rng: &mut R) {
        self.next = self
            .next
            .max(now + wait.mul_f64(rng.random_range(0.5..1.0)));
    }
}
