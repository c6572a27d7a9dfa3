//! Rate of something that is counted, averaged over recent time.

use std::time::{Duration, Instant};

/// Time constant of the average. With 500 ms, the demand was known so late at the begin of a flood of
/// eight times the load that in its first two seconds a quarter more was answered late.
pub(crate) const RATE_TIME: Duration = Duration::from_millis(250);
/// Time constant for what is counted rarely. Of a flood, 0.08 is left after 2 s.
const RARE_TIME: Duration = Duration::from_millis(800);
/// Recent count below which something is rare. With the shorter average of a few requests a second,
/// each request looks like a flood.
const RARE_COUNT: f64 = 4.0;

/// Exponentially weighted average of a rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    sum: f64,
    count: f64,
    rare_sum: f64,
    updated: Option<Instant>,
}

impl DecayingRate {
    /// Adds an amount that was observed at `now`.
    pub fn add(&mut self, now: Instant, amount: f64) {
        let (kept, rare_kept) = (self.kept(now, RATE_TIME), self.kept(now, RARE_TIME));
        self.sum = self.sum * kept + amount;
        self.count = self.count * kept + 1.0;
        self.rare_sum = self.rare_sum * rare_kept + amount;
        self.updated = Some(now);
    }

    /// The rate at `now`, per second.
    pub fn per_second(&self, now: Instant) -> f64 {
        let kept = self.kept(now, RATE_TIME);
        if self.count * kept >= RARE_COUNT {
            self.sum * kept / RATE_TIME.as_secs_f64()
        } else {
            self.rare_sum * self.kept(now, RARE_TIME) / RARE_TIME.as_secs_f64()
        }
    }

    /// Fraction that is left at `now` of what was counted up to the last update.
    fn kept(&self, now: Instant, time: Duration) -> f64 {
        let age = self.updated.map_or(Duration::ZERO, |updated| {
            now.saturating_duration_since(updated)
        });
        (-age.as_secs_f64() / time.as_secs_f64()).exp()
    }
}
