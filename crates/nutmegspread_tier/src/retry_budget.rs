//! Limit on the extra attempts on one service.

use std::time::{Duration, Instant};

/// Number of buckets that the sliding window consists of.
const WINDOW_BUCKETS: usize = 20;

/// Limit on extra attempts (hedges and retries) on one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Extra attempts allowed for each request in the window.
    pub ratio: f64,
    /// Extra attempts allowed in a window on top of `ratio`, also without any request.
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
/// The budget depends only on the requests that this node received and on its share of the slack.
/// The sum over all nodes therefore stays within the common limit without coordination.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Time of the first count, from which buckets are numbered.
    origin: Option<Instant>,
    /// Number of the newest bucket.
    newest: u64,
    requests: [u32; WINDOW_BUCKETS],
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

    /// Counts a caller's request whose first attempt goes to this service.
    pub fn count_request(&mut self, now: Instant) {
        let bucket = self.advance(now);
        self.requests[bucket] += 1;
    }

    /// Takes one extra attempt from the budget if no more than `share` (0 to 1) of the allowance is
    /// used afterwards; returns whether it was taken.
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

    /// Extra attempts allowed by the requests in the window and the slack.
    fn allowance(&self) -> f64 {
        let requests: u32 = self.requests.iter().sum();
        self.settings.ratio * f64::from(requests) + self.settings.slack
    }

    /// Moves the window up to `now`, clears the buckets that begin, and returns the index of the
    /// newest bucket.
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
