//! Query counts of one node process for one rollout.

use super::{CountPair, EvidenceKey};
use nutmegspread_model::{Incarnation, NodeId, RolloutId};
use serde::{Deserialize, Serialize};

/// Query counts that one process gathered during a rollout.
///
/// Nodes send the counts to their peers in messages that may be repeated or reordered; receivers
/// merge the counts, so neither matters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEvidence {
    /// The rollout to which the counts belong.
    pub rollout: RolloutId,
    /// The node that counted the queries.
    pub node: NodeId,
    /// Incarnation (number of the process start) of the node; a restarted process counts from zero.
    pub incarnation: Incarnation,
    /// Counts of both versions by step, route and failure domain.
    pub counts: Vec<(EvidenceKey, CountPair)>,
}
