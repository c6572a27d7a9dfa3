//! What control publishes for traffic.

use indexmap::{IndexMap, IndexSet};
use nutmegspread_tier::{FailureDomain, RouteTable, ServiceName, TargetRecord};
use std::sync::Arc;
use std::time::Instant;

/// The state of the fleet as one node knows it at one time.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// Configuration in force, once one is known.
    pub table: Option<Arc<RouteTable>>,
    /// Targets that may get requests, by service.
    pub targets: IndexMap<ServiceName, Vec<Arc<TargetRecord>>>,
    /// Failure domains whose targets must get no requests.
    pub evacuated: IndexSet<FailureDomain>,
    /// Nodes among which common limits are divided.
    pub sharing: usize,
    /// When the view was made.
    pub made: Instant,
    /// Counts the views of a node.
    pub number: u64,
}

impl FleetView {
    /// A view that knows nothing yet.
    pub fn empty(now: Instant, sharing: usize) -> Self {
        Self {
            table: None,
            targets: IndexMap::new(),
            evacuated: IndexSet::new(),
            sharing,
            made: now,
            number: 0,
        }
    }
}
