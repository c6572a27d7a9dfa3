//! Query counts of one node process for one rollout.

use super::{CountPair, EvidenceKey};
use nutmegspread_model::{Incarnation, NodeId, RolloutId};
use serde::{Deserialize, Serialize};

/// Query counts that one process gathered during a rollout.
///
/// Nodes send the counts in gossip, where messages may be repeated and reordered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEvidence {
    /// The rollout to which the counts belong.
    pub rollout: RolloutId,
    /// The node that counted the queries.
    pub node: NodeId,
    /// Incarnation of the node's process; a restarted process counts from zero.
    pub incarnation: Incarnation,
    /// Counts of both versions by step, route and failure domain.
    pub counts: Vec<(EvidenceKey, CountPair)>,
}
