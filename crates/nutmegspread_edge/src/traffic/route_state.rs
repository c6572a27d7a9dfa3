//! State of one route as this node observed it.

use nutmegspread_tier::{CostEstimate, LatencyWindow, ServiceGate, WeightedSplit};
use std::time::{Duration, Instant};

/// Time after its last request for which a route is considered when deciding whether this node can
/// serve callers.
const RECENT_REQUEST_TIME: Duration = Duration::from_secs(3);

/// State of one route as this node observed it.
#[derive(Debug, Default)]
pub struct RouteState {
    /// Latencies of answered attempts.
    pub latencies: LatencyWindow,
    /// Time that a target of normal speed works on an attempt.
    pub cost: CostEstimate,
    /// Distribution of requests over the services of a split.
    pub split: WeightedSplit,
    /// Refuses requests while too few of their services are in reach.
    pub gate: ServiceGate,
    /// Time of the last request; `None` if there was none.
    pub last_request: Option<Instant>,
}

impl RouteState {
    /// Whether the route got a request recently and enough of its services were in reach.
    pub fn is_open(&self, now: Instant) -> bool {
        let is_recent = self
            .last_request
            .is_some_and(|at| now.saturating_duration_since(at) < RECENT_REQUEST_TIME);
        is_recent && !self.gate.is_closed()
    }
}
