//! How often the platform may be called, and when to try again.

mod call_budget;
mod retry_backoff;

pub use call_budget::{BudgetSettings, CallBudget};
pub use retry_backoff::{BackoffSettings, RetryBackoff};
