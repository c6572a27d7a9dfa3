//! One service.

use super::{BudgetPolicy, CoveragePolicy, TargetLimits};
use crate::{RouteName, VersionName};
use serde::{Deserialize, Serialize};

/// A service that callers query: its version, policies and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Version that serves all traffic which no rollout moves.
    pub version: VersionName,
    /// Routes that callers may name.
    pub routes: Vec<RouteName>,
    /// When an answer may be incomplete.
    pub coverage: CoveragePolicy,
    /// Budget of hedges and retries.
    pub budget: BudgetPolicy,
    /// Limits of each target that states none of its own.
    pub limits: TargetLimits,
    /// Sub-requests that may wait for a slot of one target on one node.
    pub queue_limit: u32,
    /// Whether the service takes orders.
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
