//! A token bucket that limits the rate of platform calls.

use nutmegspread_model::MonotonicTime;
use std::time::Duration;

/// Rate and burst of a [`CallBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Calls per second that may be made in the long term.
    pub calls_per_second: f64,
    /// Largest number of calls that may be made at once, after a time without calls.
    pub burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            calls_per_second: 2.0,
            burst: 6.0,
        }
    }
}

/// Limits the rate of platform calls.
///
/// A watch counts as one call when it is opened; while it stays open, it takes nothing more.
#[derive(Clone, Debug)]
pub struct CallBudget {
    settings: BudgetSettings,
    tokens: f64,
    refilled_at: MonotonicTime,
}

impl CallBudget {
    /// Creates a budget with its whole burst available.
    pub fn new(settings: BudgetSettings, now: MonotonicTime) -> Self {
        let tokens = settings.burst;
        Self {
            settings,
            tokens,
            refilled_at: now,
        }
    }

    /// Takes one call from the budget; returns `false` if none is available.
    pub fn take(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    /// Earliest time at which [`Self::take`] will return `true`.
    pub fn ready_at(&self, now: MonotonicTime) -> MonotonicTime {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let tokens = self.tokens + elapsed * self.settings.calls_per_second;
        let missing = (1.0 - tokens).max(0.0);
        now + Duration::from_secs_f64(missing / self.settings.calls_per_second.max(1e-3))
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let tokens = self.tokens + elapsed * self.settings.calls_per_second;
        self.tokens = tokens.min(self.settings.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
