//! Part of the evidence on a rollout that follows the encoded record in messages between nodes.

use nutmegspread_tier::RolloutEvidence;
use serde::{Deserialize, Serialize};

/// Part of the evidence on a rollout that follows the encoded record, so that nodes of an earlier
/// release, which ignore the bytes there, can read the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceExtension {
    /// Revision of the order that the sender knows.
    revision: u64,
    /// Numbers of refused attempts on the old and the new version, for each route of the evidence.
    refused: Vec<(u64, u64)>,
}

impl EvidenceExtension {
    /// Returns the extension of a piece of evidence.
    pub fn of(evidence: &RolloutEvidence) -> Self {
        let refused = evidence
            .routes
            .iter()
            .map(|(_, counts)| (counts.old.refused, counts.new.refused));
        Self {
            revision: evidence.revision,
            refused: refused.collect(),
        }
    }

    /// Adds the extension to the piece of evidence that it belongs to.
    pub fn apply(self, evidence: &mut RolloutEvidence) {
        evidence.revision = self.revision;
        for ((_, counts), (old, new)) in evidence.routes.iter_mut().zip(self.refused) {
            counts.old.refused = old;
            counts.new.refused = new;
        }
    }
}
