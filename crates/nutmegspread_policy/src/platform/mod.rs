//! Limits the rate of platform calls and the delay before a retry.

mod call_budget;
mod retry_backoff;

pub use call_budget::{BudgetSettings, CallBudget};
pub use retry_backoff::{BackoffSettings, RetryBackoff};
