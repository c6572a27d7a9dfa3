//! Views of the fleet that the control thread publishes for the traffic thread.

use indexmap::{IndexMap, IndexSet};
use nutmegspread_tier::{
    FailureDomain, NodeName, RolloutStage, RouteTable, ServiceName, StorePosition, TargetRecord,
};
use std::sync::Arc;
use std::time::Instant;

/// Rollout of a service, as traffic needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRollout {
    /// Version that is rolled out.
    pub version: String,
    /// Tells the orders of a version from each other; see
    /// [`RolloutControl::created`](nutmegspread_tier::RolloutControl::created).
    pub order: StorePosition,
    /// Stage of the rollout, which determines the new version's share of the traffic.
    pub stage: RolloutStage,
}

/// State of the fleet as one node knows it at one time.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// Configuration in force; `None` until one is known.
    pub table: Option<Arc<RouteTable>>,
    /// Usable targets, by service.
    pub targets: IndexMap<ServiceName, Vec<Arc<TargetRecord>>>,
    /// Evacuated failure domains, whose targets get no requests.
    pub evacuated: IndexSet<FailureDomain>,
    /// Rollouts under way, by service.
    pub rollouts: IndexMap<ServiceName, ServiceRollout>,
    /// This node's share of the limits that are common to all nodes, from 0 to 1.
    pub part: f64,
    /// Nodes that share limits of whole requests; `None` while heartbeats of some nodes may not
    /// have been received yet.
    pub sharers: Option<Vec<NodeName>>,
    /// Whether this node is advertised to callers.
    pub is_named: bool,
    /// Time at which the view was published.
    pub made: Instant,
    /// Sequence number of the view; 0 for the empty view at the start.
    pub number: u64,
}

impl FleetView {
    /// Creates the view that is in use before anything is known of the fleet.
    pub fn empty(now: Instant, part: f64) -> Self {
        Self {
            table: None,
            targets: IndexMap::new(),
            evacuated: IndexSet::new(),
            rollouts: IndexMap::new(),
            part,
            sharers: None,
            is_named: true,
            made: now,
            number: 0,
        }
    }
}
