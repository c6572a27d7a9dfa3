//! What the node has seen of one route.

use nutmegspread_tier::{LatencyWindow, ServiceGate, WeightedSplit};
use std::time::{Duration, Instant};

/// Time after its last request for which a route says something about the node.
const ASKED_TIME: Duration = Duration::from_secs(3);

/// What the node has seen of one route.
#[derive(Debug, Default)]
pub struct RouteState {
    /// Latencies of single sends.
    pub latencies: LatencyWindow,
    /// Distribution over the parts of a split.
    pub split: WeightedSplit,
    /// Turns requests away that are out of reach.
    pub gate: ServiceGate,
    /// When the last request came.
    pub asked: Option<Instant>,
}

impl RouteState {
    /// Whether requests of the route came lately and were in reach.
    pub fn is_open(&self, now: Instant) -> bool {
        let is_asked = self
            .asked
            .is_some_and(|at| now.saturating_duration_since(at) < ASKED_TIME);
        is_asked && !self.gate.is_closed()
    }
}
