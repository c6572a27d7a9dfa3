//! A token bucket that limits the rate of platform calls.

use nutmegspread_model::MonotonicTime;
use std::time::Duration;

/// Rate and burst of a [`CallBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Number of calls that the budget gains per second, which is the average rate in the long
    /// term.
    pub calls_per_second: f64,
    /// Largest number of calls that the budget accumulates while no calls are made, and that may
    /// then be made at once.
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
/// Each call takes one token. Opening a watch takes one token, and an open watch takes no more.
#[derive(Clone, Debug)]
pub struct CallBudget {
    settings: BudgetSettings,
    /// Number of calls that could be made at `refilled_at`, with a fraction.
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

    /// Takes one token for a call; returns `false` if none is available, and the call must wait.
    pub fn take(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    /// Earliest time, not before `now`, at which [`Self::take`] will return `true` if no call is
    /// made until then.
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
