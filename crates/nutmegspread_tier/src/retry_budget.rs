//! How many extra sends a service bears.

use std::time::{Duration, Instant};

/// Buckets into which the window is divided.
const WINDOW_BUCKETS: usize = 20;

/// What the sends beyond the first of each request may add up to.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Extra sends for each request in the window.
    pub ratio: f64,
    /// Extra sends in a window that are allowed without any request.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 5.0,
            window: Duration::from_secs(10),
        }
    }
}

/// One node's part of the extra sends to one service over a sliding window.
///
/// Each node keeps within the ratio of the requests it took itself and within its part of the
/// slack, so that the sum over all nodes holds without agreement.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    origin: Option<Instant>,
    newest: u64,
    requests: [u32; WINDOW_BUCKETS],
    extras: [u32; WINDOW_BUCKETS],
}

impl RetryBudget {
    /// Starts with an empty window.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            origin: None,
            newest: 0,
            requests: [0; WINDOW_BUCKETS],
            extras: [0; WINDOW_BUCKETS],
        }
    }

    /// Replaces the settings and keeps what was counted.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Counts a caller's request whose first send goes to this service.
    pub fn count_request(&mut self, now: Instant) {
        let bucket = self.advance(now);
        self.requests[bucket] += 1;
    }

    /// Takes one extra send if less than `share` (0 to 1) of the allowance is used.
    pub fn take_extra(&mut self, now: Instant, share: f64) -> bool {
        let bucket = self.advance(now);
        let used: u32 = self.extras.iter().sum();
        let allowed = (self.allowance() * share).floor();
        if f64::from(used + 1) > allowed {
            return false;
        }
        self.extras[bucket] += 1;
        true
    }

    /// Extra sends that the window allows by now.
    fn allowance(&self) -> f64 {
        let requests: u32 = self.requests.iter().sum();
        self.settings.ratio * f64::from(requests) + self.settings.slack
    }

    fn advance(&mut self, now: Instant) -> usize {
        let origin = *self.origin.get_or_insert(now);
        let width = self.settings.window.as_millis().max(1) as u64 / WINDOW_BUCKETS as u64;
        let current = now.saturating_duration_since(origin).as_millis() as u64 / width.max(1);
        let steps = current
            .saturating_sub(self.newest)
            .min(WINDOW_BUCKETS as u64);
        for step in 1..=steps {
            let bucket = ((self.newest + step) % WINDOW_BUCKETS as u64) as usize;
            self.requests[bucket] = 0;
            self.extras[bucket] = 0;
        }
        if steps == WINDOW_BUCKETS as u64 {
            self.requests = [0; WINDOW_BUCKETS];
            self.extras = [0; WINDOW_BUCKETS];
        }
        self.newest = self.newest.max(current);
        (self.newest % WINDOW_BUCKETS as u64) as usize
    }
}
