//! The counts of one node.

use super::{CountPair, EvidenceKey};
use nutmegspread_model::{Incarnation, NodeId, RolloutId};
use serde::{Deserialize, Serialize};

/// What one process saw of a rollout; gossip carries it, repeated and reordered as may be.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEvidence {
    /// Rollout that the counts belong to.
    pub rollout: RolloutId,
    /// Node that counted.
    pub node: NodeId,
    /// Start of the node's process; a restarted one counts from zero.
    pub incarnation: Incarnation,
    /// Counts by step, route and domain.
    pub counts: Vec<(EvidenceKey, CountPair)>,
}
