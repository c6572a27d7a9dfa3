//! The division of a service's traffic between the two versions of a rollout.

use indexmap::IndexMap;
use nutmegspread_model::{RouteName, VersionName};

/// The fractions of a service's queries that one node gives to the new version of a rollout.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionSplit {
    /// The old version, which serves all other queries.
    pub from: VersionName,
    /// The new version.
    pub to: VersionName,
    /// Fraction of queries that the new version gets on routes that are not in `route_shares`, 0 to
    /// 1.
    pub share: f64,
    /// Fraction of queries that the new version gets on each route listed here, 0 to 1.
    pub route_shares: IndexMap<RouteName, f64>,
}
