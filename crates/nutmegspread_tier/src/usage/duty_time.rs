//! Time of a decision about reports.

use std::time::{Duration, Instant};

/// Time of a decision about reports, by three clocks.
#[derive(Clone, Copy, Debug)]
pub struct DutyTime {
    /// Monotonic clock, which does not count a suspension.
    pub monotonic: Instant,
    /// Time since boot, which counts a suspension.
    pub boot: Duration,
    /// Time since the start of 1970 by a [`TrueClock`](crate::TrueClock).
    pub true_time: Duration,
}

impl DutyTime {
    /// Time that has passed at least since `earlier`: the shorter one by the two clocks.
    pub fn least_since(&self, earlier: &Self) -> Duration {
        let (monotonic, boot) = self.since(earlier);
        monotonic.min(boot)
    }

    /// Time that may have passed since `earlier`: the longer one by the two clocks.
    pub fn most_since(&self, earlier: &Self) -> Duration {
        let (monotonic, boot) = self.since(earlier);
        monotonic.max(boot)
    }

    fn since(&self, earlier: &Self) -> (Duration, Duration) {
        let monotonic = self.monotonic.saturating_duration_since(earlier.monotonic);
        (monotonic, self.boot.saturating_sub(earlier.boot))
    }
}
