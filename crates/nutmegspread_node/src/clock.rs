//! The process's clock: the only place where time is read.

use nutmegspread_model::MonotonicTime;
use std::time::{Instant, SystemTime};

/// Turns the system's monotonic clock into [`MonotonicTime`] since the process start.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl ProcessClock {
    /// Time since the process start.
    pub fn now(&self) -> MonotonicTime {
        self.start.elapsed()
    }

    /// The VM's time of day; it may be off by the stated clock error.
    pub fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    /// The instant at which [`Self::now`] is `time`.
    pub fn instant_at(&self, time: MonotonicTime) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + time)
    }
}
