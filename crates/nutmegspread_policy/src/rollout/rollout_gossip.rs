//! The message about rollouts that nodes send to their peers.

use super::{BrakeSet, KnownRecord, NodeEvidence};
use serde::{Deserialize, Serialize};

/// Query counts, brakes (which stop bad versions) and rollout records that one node sends to its
/// peers.
///
/// The receiver merges each part, so repeated messages have no further effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutGossip {
    /// The sender's own query counts for rollouts whose record can still change.
    pub evidence: Vec<NodeEvidence>,
    /// All brakes that the sender has set or received.
    pub brakes: BrakeSet,
    /// The newest record of each rollout that the sender knows.
    pub records: Vec<KnownRecord>,
}

impl RolloutGossip {
    /// Whether the message has no content and need not be sent.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty() && self.brakes.reasons.is_empty() && self.records.is_empty()
    }
}
