//! Tells evidence on a rollout's order from that on an earlier order of the same version.

use crate::{RolloutEvidence, StorePosition};
use indexmap::IndexMap;

/// Which part of a piece of evidence counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceUse {
    /// The whole evidence.
    Whole,
    /// Only the mark of a bad version.
    Brake,
    /// Nothing: the evidence is on an earlier order.
    Nothing,
}

/// Tells evidence on a rollout's order from that on an earlier order of the same version.
///
/// Evidence on an earlier order names a lower revision. This holds only within one era of the store:
/// after a restore, an order may have a lower revision than before, and a peer that has not learned
/// of the era yet names that of the era before. Its evidence may be on either order. The mark counts,
/// because the peer may stop before it can send the mark again, unless an earlier order of the version
/// is known to have ended. Its counts do not: the peer sends all of them again once it has read the
/// order in the new era.
#[derive(Clone, Debug)]
pub struct EvidenceBounds {
    /// Lowest revision of evidence on the order, by the era in which the order was read.
    least: IndexMap<u64, u64>,
    /// Era in which this node first read the order.
    created: u64,
    /// Whether an earlier order of the same version is known to have ended.
    is_repeated: bool,
}

impl EvidenceBounds {
    /// Creates the bounds of an order that this node first read at `first`; evidence with a lower
    /// revision of the same era is on an earlier order. A revision of 0 allows all.
    pub fn new(first: StorePosition, is_repeated: bool) -> Self {
        Self {
            least: IndexMap::from([(first.era, first.revision)]),
            created: first.era,
            is_repeated,
        }
    }

    /// Records that the order was first read in a later era at `first`.
    pub fn begin_era(&mut self, first: StorePosition) {
        self.least.insert(first.era, first.revision);
    }

    /// Returns which part of a piece of evidence counts.
    pub fn evidence_use(&self, evidence: &RolloutEvidence) -> EvidenceUse {
        let StorePosition { era, revision } = evidence.position();
        if revision == 0 {
            return EvidenceUse::Whole;
        }
        let stated = self.least.get(&era);
        // A peer that does not state an era may know the order by its revision in any of them.
        let least = match (stated, era) {
            (None, 0) => self.least.values().min(),
            _ => stated,
        };
        let is_within = match least {
            Some(least) => revision >= *least,
            None => era > self.created,
        };
        let is_earlier = self.is_repeated || (stated.is_some() && era == self.created);
        match (is_within, is_earlier) {
            (true, _) => EvidenceUse::Whole,
            (false, true) => EvidenceUse::Nothing,
            (false, false) => EvidenceUse::Brake,
        }
    }
}
