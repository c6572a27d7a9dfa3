//! Budget for hedges and retries, which limits the extra load that they put on targets.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Budget that hedges and retries of a service share, and the delay before a hedge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetPolicy {
    /// Number of extra attempts allowed per first attempt, from 0 to 1.
    pub extra_fraction: f64,
    /// Largest number of extra attempts that an unused budget may accumulate.
    pub burst: u32,
    /// Quantile of the measured latency of sub-requests, from 0 to 1; a hedge is delayed by the
    /// latency at this quantile.
    pub hedge_quantile: f64,
    /// Minimum delay before a hedge, in milliseconds.
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
