//! What nodes tell one another of rollouts.

use super::{BrakeSet, KnownRecord, NodeEvidence};
use serde::{Deserialize, Serialize};

/// Counts, brakes and records of one node; every part merges alike however often it comes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutGossip {
    /// The sender's own counts of rollouts that are not settled.
    pub evidence: Vec<NodeEvidence>,
    /// Every brake that the sender knows.
    pub brakes: BrakeSet,
    /// The newest records that the sender knows.
    pub records: Vec<KnownRecord>,
}

impl RolloutGossip {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty() && self.brakes.reasons.is_empty() && self.records.is_empty()
    }
}
