//! Settings of a service.

use super::{BudgetPolicy, CoveragePolicy, TargetLimits};
use crate::{RouteName, VersionName};
use serde::{Deserialize, Serialize};

/// A service to which callers send queries: its version, routes, policies and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Version that serves all traffic while no rollout applies.
    pub version: VersionName,
    /// Routes that callers may request.
    pub routes: Vec<RouteName>,
    /// Deadlines and minimum coverage of answers.
    pub coverage: CoveragePolicy,
    /// Budget for hedges and retries.
    pub budget: BudgetPolicy,
    /// Limits of each target without limits of its own.
    pub limits: TargetLimits,
    /// Largest number of sub-requests that may wait on one node for a slot of one target.
    pub queue_limit: u32,
    /// Whether the service accepts orders.
    pub orders: bool,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            version: "1".into(),
            routes: vec!["search".into()],
            coverage: CoveragePolicy::default(),
            budget: BudgetPolicy::default(),
            limits: TargetLimits::default(),
            queue_limit: 8,
            orders: false,
        }
    }
}
