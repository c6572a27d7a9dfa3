//! Limit on the extra attempts (hedges and retries) on one service.

use std::time::{Duration, Instant};

/// Number of buckets of equal length into which the sliding window is divided.
const WINDOW_BUCKETS: usize = 20;

/// Limit on extra attempts (hedges and retries) on one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Number of extra attempts allowed for each request in the window.
    pub ratio: f64,
    /// Number of extra attempts allowed in the window in addition to those from `ratio`, even
    /// without any request.
    pub slack: f64,
    /// Length of the sliding window over which requests and extra attempts are counted.
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

/// One node's budget of extra attempts on one service over a sliding window.
///
/// What the budget allows depends only on the requests that this node received and on `slack`,
/// which is the node's share of a slack common to all nodes. The sum over all nodes therefore stays
/// within the common limit without coordination.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Time of the first count, from which buckets are numbered.
    origin: Option<Instant>,
    /// Number of the newest bucket, counted from `origin`.
    newest: u64,
    /// Number of requests in each bucket.
    requests: [u32; WINDOW_BUCKETS],
    /// Number of extra attempts in each bucket.
    extras: [u32; WINDOW_BUCKETS],
}

impl RetryBudget {
    /// Creates a budget with an empty window.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            origin: None,
            newest: 0,
            requests: [0; WINDOW_BUCKETS],
            extras: [0; WINDOW_BUCKETS],
        }
    }

    /// Replaces the settings and keeps the counts.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Counts a caller's request to this service.
    pub fn count_request(&mut self, now: Instant) {
        let bucket = self.advance(now);
        self.requests[bucket] += 1;
    }

    /// Takes one extra attempt from the budget, if the extra attempts in the window then make up no
    /// more than `fraction` (0 to 1) of those allowed. Returns whether the attempt was taken.
    pub fn take_extra(&mut self, now: Instant, fraction: f64) -> bool {
        let bucket = self.advance(now);
        let used: u32 = self.extras.iter().sum();
        let allowed = (self.allowance() * fraction).floor();
        if f64::from(used + 1) > allowed {
            return false;
        }
        self.extras[bucket] += 1;
        true
    }

    /// Number of extra attempts allowed in the window, from its requests and the slack.
    fn allowance(&self) -> f64 {
        let requests: u32 = self.requests.iter().sum();
        self.settings.ratio * f64::from(requests) + self.settings.slack
    }

    /// Moves the window forward to `now`, clears the buckets that have begun since the last call,
    /// and returns the index of the newest bucket.
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
