//! The part of the routing view that describes one service.

use super::TargetView;
use indexmap::IndexMap;
use nutmegspread_model::{RouteName, ServiceSettings, SnapshotMap, TargetId, VersionName};
use std::sync::Arc;

/// Settings, versions and targets of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// Settings of the service in the current configuration.
    pub settings: ServiceSettings,
    /// Versions that may serve queries, with the fraction of queries that each one serves.
    pub versions: IndexMap<VersionName, VersionView>,
    /// Targets of every version by id, including those that are drained or down.
    pub targets: IndexMap<TargetId, Arc<TargetView>>,
}

impl ServiceView {
    /// The target, if it runs `version`, accepts new work and has an owner; otherwise `None`.
    pub fn usable_target(&self, target: &str, version: &str) -> Option<&TargetView> {
        let view = self.targets.get(target)?;
        let owned = !view.owners.is_empty() || !view.share.is_empty();
        (view.accepts_work && owned && *view.version == *version).then_some(&**view)
    }
}

/// The fraction of queries that one version of a service serves (its share), and its snapshot maps.
#[derive(Clone, Debug, Default)]
pub struct VersionView {
    /// Fraction of the service's queries that this version serves, 0 to 1; the fractions of all
    /// versions of a service add up to 1.
    pub share: f64,
    /// Fraction of the queries that this version serves, 0 to 1, on the routes where the fraction
    /// differs from `share`.
    pub route_shares: IndexMap<RouteName, f64>,
    /// Map of the current snapshot; `None` if no snapshot is known yet.
    pub map: Option<Arc<SnapshotMap>>,
    /// Map of the previous snapshot, from which queries in flight are still answered.
    pub previous_map: Option<Arc<SnapshotMap>>,
}

impl VersionView {
    /// Fraction of the queries on `route` that this version serves, 0 to 1; without a route, the
    /// fraction for the whole service.
    pub fn share_on(&self, route: Option<&str>) -> f64 {
        let share = route.and_then(|route| self.route_shares.get(route));
        share.copied().unwrap_or(self.share)
    }
}
