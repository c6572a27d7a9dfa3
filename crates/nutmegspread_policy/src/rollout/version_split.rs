//! How a rollout divides the traffic of a service.

use indexmap::IndexMap;
use nutmegspread_model::{RouteName, VersionName};

/// Shares of the new version on one node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionSplit {
    /// Version that serves the rest.
    pub from: VersionName,
    /// Version that gets the share.
    pub to: VersionName,
    /// Share of the new version on routes without their own, 0 to 1.
    pub share: f64,
    /// Shares of the new version by route, 0 to 1.
    pub route_shares: IndexMap<RouteName, f64>,
}
