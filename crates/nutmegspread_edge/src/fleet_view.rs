//! What control publishes for traffic.

use indexmap::{IndexMap, IndexSet};
use nutmegspread_tier::{
    FailureDomain, NodeName, RolloutStage, RouteTable, ServiceName, TargetRecord,
};
use std::sync::Arc;
use std::time::Instant;

/// The version that a service moves to, and how far it has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRollout {
    /// The version.
    pub version: String,
    /// What to do with the service's traffic.
    pub stage: RolloutStage,
}

/// The state of the fleet as one node knows it at one time.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// Configuration in force, once one is known.
    pub table: Option<Arc<RouteTable>>,
    /// Targets that may get requests, by service.
    pub targets: IndexMap<ServiceName, Vec<Arc<TargetRecord>>>,
    /// Failure domains whose targets must get no requests.
    pub evacuated: IndexSet<FailureDomain>,
    /// Services that move to another version.
    pub rollouts: IndexMap<ServiceName, ServiceRollout>,
    /// This node's part of limits that hold for all nodes together, 0 to 1.
    pub part: f64,
    /// Nodes that share limits of whole requests; nothing while some may be unheard.
    pub sharers: Option<Vec<NodeName>>,
    /// Whether callers are sent to this node.
    pub is_named: bool,
    /// When the view was made.
    pub made: Instant,
    /// Counts the views of a node.
    pub number: u64,
}

impl FleetView {
    /// A view that knows nothing yet.
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
