//! In which window a request counts.

use crate::usage::usage_window::WindowNumber;

/// Number of an attempt of a request, in the order in which attempts were written.
pub type AttemptNumber = usize;

/// Change of the counts of a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CountChange {
    /// Window in which the request counts no more.
    pub take_back: Option<WindowNumber>,
    /// Window in which the request counts now.
    pub count: Option<WindowNumber>,
}

/// Window in which a request counts: that of its first attempt that ran or may have run.
///
/// An attempt counts when it is written, and no more once the target says that it did not run. The
/// request then counts in the window of the next attempt, which may be written already.
#[derive(Clone, Debug, Default)]
pub struct RequestCount {
    /// Window of each attempt, `None` once it is known that it did not run.
    attempts: Vec<Option<WindowNumber>>,
    /// Window in which the request counts.
    counted: Option<WindowNumber>,
}

impl RequestCount {
    /// Records that an attempt was written in a window, and returns its number.
    pub fn record_sent(&mut self, window: WindowNumber) -> (AttemptNumber, CountChange) {
        self.attempts.push(Some(window));
        (self.attempts.len() - 1, self.update())
    }

    /// Records that the target of an attempt did not run it.
    pub fn record_not_run(&mut self, attempt: AttemptNumber) -> CountChange {
        if let Some(window) = self.attempts.get_mut(attempt) {
            *window = None;
        }
        self.update()
    }

    fn update(&mut self) -> CountChange {
        let before = self.counted;
        self.counted = self.attempts.iter().copied().flatten().next();
        if before == self.counted {
            return CountChange::default();
        }
        CountChange {
            take_back: before,
            count: self.counted,
        }
    }
}
