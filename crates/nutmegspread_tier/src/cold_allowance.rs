//! How many requests a second a cold target gets from one node.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length of the window for which a cold target's limit holds.
const COLD_WINDOW: Duration = Duration::from_millis(1050);

/// One node's part of what a cold target bears, over any span of a second.
#[derive(Clone, Debug, Default)]
pub struct ColdAllowance {
    /// Sends a second, or no limit.
    limit: Option<u32>,
    sends: VecDeque<Instant>,
}

impl ColdAllowance {
    /// Sets the limit; nothing stands for none.
    pub fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit;
    }

    /// Whether one more send is within the limit.
    pub fn allows(&self, now: Instant) -> bool {
        self.limit.is_none_or(|limit| {
            let recent = self
                .sends
                .iter()
                .filter(|sent| now.saturating_duration_since(**sent) < COLD_WINDOW);
            (recent.count() as u32) < limit
        })
    }

    /// Counts a send.
    pub fn count(&mut self, now: Instant) {
        if self.limit.is_none() {
            return;
        }
        while self
            .sends
            .front()
            .is_some_and(|sent| now.saturating_duration_since(*sent) >= COLD_WINDOW)
        {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }
}
