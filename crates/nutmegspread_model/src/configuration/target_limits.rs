//! What one target bears.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Limits of one target, summed over all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetLimits {
    /// Requests that the target works on at a time.
    pub slots: u32,
    /// Connections that the target accepts.
    pub connections: u32,
    /// Time that the target needs for a new connection, in milliseconds.
    #[serde(rename = "connection_cost_ms", with = "crate::duration_ms")]
    pub connection_cost: Duration,
    /// Requests at a time that the target bears in cold start.
    pub cold_slots: u32,
    /// Requests that a cold target must complete before it counts as warm.
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
