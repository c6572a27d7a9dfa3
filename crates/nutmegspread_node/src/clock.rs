//! The clock of the node process.

use nutmegspread_model::MonotonicTime;
use std::time::{Instant, SystemTime};

/// Clock of the process; measures [`MonotonicTime`] from the process start.
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

    /// The VM's wall-clock time, which may be wrong by up to the configured clock error.
    pub fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    /// The instant at which [`Self::now`] returns `time`.
    pub fn instant_at(&self, time: MonotonicTime) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + time)
    }
}
