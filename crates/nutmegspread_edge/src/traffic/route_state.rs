//! What the node has seen of one route.

use nutmegspread_tier::{LatencyWindow, WeightedSplit};

/// What the node has seen of one route.
#[derive(Debug, Default)]
pub struct RouteState {
    /// Latencies of single sends.
    pub latencies: LatencyWindow,
    /// Distribution over the parts of a split.
    pub split: WeightedSplit,
}
