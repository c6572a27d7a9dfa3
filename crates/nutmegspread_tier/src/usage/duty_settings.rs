//! Times of the reports of usage.

use crate::usage::usage_window::WindowSchedule;
use std::time::Duration;

/// Time after the end of a window at which its counts are finalized, so that the last messages of all
/// nodes have arrived.
const FINAL_DELAY: Duration = Duration::from_secs(2);
/// Least time that a report has left until it is due when its window is finalized by a node that does
/// not hear most others.
const CUT_OFF_MARGIN: Duration = Duration::from_millis(2500);
/// Time that a takeover waits beyond the lease.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(500);
/// Time beyond a window within which the holder, which writes once a window, has written again.
const WRITE_MARGIN: Duration = Duration::from_secs(2);
/// Fraction of `calls_per_s` that a holder uses at most: calls of two holders may meet.
const CALL_FRACTION: f64 = 0.25;
/// Longest time between two calls that a low `calls_per_s` causes.
const MAX_CALL_INTERVAL_S: f64 = 60.0;

/// Times of the reports of usage.
#[derive(Clone, Copy, Debug)]
pub struct DutySettings {
    /// Windows and when their reports are due.
    pub schedule: WindowSchedule,
    /// Time within which holders may not follow each other and back.
    pub lease: Duration,
    /// Calls per second that the platform accepts of all nodes together.
    pub calls_per_s: f64,
}

impl Default for DutySettings {
    fn default() -> Self {
        Self {
            schedule: WindowSchedule::default(),
            lease: Duration::from_secs(3),
            calls_per_s: 50.0,
        }
    }
}

impl DutySettings {
    /// Time for which a write permits reports.
    pub fn permission_time(&self) -> Duration {
        self.lease / 2
    }

    /// Time for which the usage object has to be unchanged before a takeover. A node that does not
    /// hear most others waits until a holder that works has written again, because it has the counts
    /// of few nodes.
    pub fn takeover_time(&self, is_cut_off: bool) -> Duration {
        let time = self.lease + TAKEOVER_MARGIN;
        if is_cut_off {
            time.max(self.schedule.length + WRITE_MARGIN)
        } else {
            time
        }
    }

    /// Time after the end of a window at which its counts are finalized. A node that does not hear
    /// most others leaves time for another one to take over, which has the counts of more nodes.
    pub fn final_delay(&self, is_cut_off: bool) -> Duration {
        let delay = FINAL_DELAY.min(self.schedule.late / 3);
        if is_cut_off {
            delay.max(self.schedule.late.saturating_sub(CUT_OFF_MARGIN))
        } else {
            delay
        }
    }

    /// Least time between two reports.
    pub fn call_interval(&self) -> Duration {
        let seconds = 1.0 / (self.calls_per_s * CALL_FRACTION);
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_CALL_INTERVAL_S))
    }
}
