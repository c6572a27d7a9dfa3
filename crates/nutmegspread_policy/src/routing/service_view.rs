//! Routing state of one service.

use super::TargetView;
use indexmap::IndexMap;
use nutmegspread_model::{ServiceSettings, SnapshotMap, TargetId, VersionName};
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

/// One version of a service.
#[derive(Clone, Debug, Default)]
pub struct VersionView {
    /// Share of queries, 0 to 1; the shares of a service add up to 1.
    pub share: f64,
    /// Current snapshot map; `None` while none is known.
    pub map: Option<Arc<SnapshotMap>>,
    /// Snapshot before the current one, for queries in flight.
    pub previous_map: Option<Arc<SnapshotMap>>,
}
