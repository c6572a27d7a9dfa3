//! Limits on the load of a target.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Limits on the load that all nodes together put on one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetLimits {
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Number of connections that the target accepts.
    pub connections: u32,
    /// Processing time that a new connection costs the target, in milliseconds.
    #[serde(rename = "connection_cost_ms", with = "crate::duration_ms")]
    pub connection_cost: Duration,
    /// Number of requests that the target can process concurrently while it is cold.
    pub cold_slots: u32,
    /// Number of requests that a cold target must complete before it counts as warm.
    pub warm_after: u32,
}

impl Default for TargetLimits {
    fn default() -> Self {
        Self {
            slots: 2,
            connections: 25,
            connection_cost: Duration::from_millis(6),
            cold_slots: 1,
            warm_after: 50,
        }
    }
}
