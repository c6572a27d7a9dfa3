//! Routing state of one service.

use super::TargetView;
use indexmap::IndexMap;
use nutmegspread_model::{RouteName, ServiceSettings, SnapshotMap, TargetId, VersionName};
use std::sync::Arc;

/// Versions, shares and targets of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// Settings in force.
    pub settings: ServiceSettings,
    /// Versions that may serve, with their shares of traffic.
    pub versions: IndexMap<VersionName, VersionView>,
    /// Targets of every version by id, drained and down ones included.
    pub targets: IndexMap<TargetId, Arc<TargetView>>,
}

impl ServiceView {
    /// The target, if it runs the version, may get new work and has an owner.
    pub fn usable_target(&self, target: &str, version: &str) -> Option<&TargetView> {
        let view = self.targets.get(target)?;
        let owned = !view.owners.is_empty() || !view.share.is_empty();
        (view.takes_work && owned && *view.version == *version).then_some(&**view)
    }
}

/// One version of a service.
#[derive(Clone, Debug, Default)]
pub struct VersionView {
    /// Share of queries, 0 to 1; the shares of a service add up to 1.
    pub share: f64,
    /// Shares on routes where they differ, 0 to 1.
    pub route_shares: IndexMap<RouteName, f64>,
    /// Current snapshot map; `None` while none is known.
    pub map: Option<Arc<SnapshotMap>>,
    /// Snapshot before the current one, for queries in flight.
    pub previous_map: Option<Arc<SnapshotMap>>,
}

impl VersionView {
    /// Share of the queries of a route, 0 to 1; that of the whole service without a route.
    pub fn share_on(&self, route: Option<&str>) -> f64 {
        let share = route.and_then(|route| self.route_shares.get(route));
        share.copied().unwrap_or(self.share)
    }
}
