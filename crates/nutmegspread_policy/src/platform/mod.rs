//! A limit on the rate of platform calls, and the backoff before a failed call is retried.

mod call_budget;
mod retry_backoff;

pub use call_budget::{BudgetSettings, CallBudget};
pub use retry_backoff::{BackoffSettings, RetryBackoff};
