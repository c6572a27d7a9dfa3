//! How much extra load hedges and retries may put on targets.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One budget for hedges and retries together, and when a hedge may start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetPolicy {
    /// Extra attempts allowed, as a fraction of first attempts, 0 to 1.
    pub extra_fraction: f64,
    /// Extra attempts that may be saved up.
    pub burst: u32,
    /// Quantile of sub-request latency after which a hedge may start, 0 to 1.
    pub hedge_quantile: f64,
    /// Least hedge delay, in milliseconds.
    #[serde(rename = "minimum_hedge_delay_ms", with = "crate::duration_ms")]
    pub minimum_hedge_delay: Duration,
}

impl Default for BudgetPolicy {
    fn default() -> Self {
        Self {
            extra_fraction: 0.05,
            burst: 20,
            hedge_quantile: 0.95,
            minimum_hedge_delay: Duration::from_millis(2),
        }
    }
}
