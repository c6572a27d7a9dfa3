//! Windows of time in which usage is counted.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Number of a window; window k begins k window lengths after the start of 1970.
pub type WindowNumber = u64;

/// Number of window lengths after its due time for which a window is still reported.
const MAX_OVERDUE_WINDOWS: u32 = 6;
/// Number of windows after the present one for which counts are accepted from nodes whose clocks are
/// ahead.
const MAX_WINDOWS_AHEAD: u64 = 2;

/// Length of the windows, and when their reports are due. Times are since the start of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowSchedule {
    /// Length of a window, above zero.
    pub length: Duration,
    /// Time after the end of a window at which its report is due.
    pub late: Duration,
}

impl Default for WindowSchedule {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(5),
            late: Duration::from_secs(10),
        }
    }
}

impl WindowSchedule {
    /// Number of the window that contains `time`.
    pub fn number(&self, time: Duration) -> WindowNumber {
        saturated(time.as_nanos() / self.length_nanos())
    }

    /// End of a window, which is the start of the next one.
    pub fn end(&self, window: WindowNumber) -> Duration {
        let nanos = (u128::from(window) + 1) * self.length_nanos();
        let seconds = saturated(nanos / 1_000_000_000);
        Duration::new(seconds, (nanos % 1_000_000_000) as u32)
    }

    /// Time at which the report of a window is due.
    pub fn due(&self, window: WindowNumber) -> Duration {
        self.end(window).saturating_add(self.late)
    }

    /// Oldest window that is still reported at `time`: it is not overdue by more than 6 windows.
    pub fn oldest(&self, time: Duration) -> WindowNumber {
        let kept = self.late + self.length * (MAX_OVERDUE_WINDOWS + 1);
        let start = time.saturating_sub(kept).as_nanos();
        saturated(start.div_ceil(self.length_nanos()))
    }

    /// Windows for which counts of nodes are accepted at `time`.
    pub fn accepted(&self, time: Duration) -> RangeInclusive<WindowNumber> {
        self.oldest(time)..=self.number(time).saturating_add(MAX_WINDOWS_AHEAD)
    }

    fn length_nanos(&self) -> u128 {
        self.length.as_nanos().max(1)
    }
}

fn saturated(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}
