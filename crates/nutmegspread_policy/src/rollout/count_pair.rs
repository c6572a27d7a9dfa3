//! Query counts of the old and the new version over the same period.

use super::OutcomeCount;
use serde::{Deserialize, Serialize};

/// Query counts of the old and the new version over the same period, so that they can be compared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountPair {
    /// Counts of the version that the rollout replaces.
    pub old: OutcomeCount,
    /// Counts of the version that the rollout introduces.
    pub new: OutcomeCount,
}

impl CountPair {
    /// Merges another copy of the same counts: raises each count to the larger of the two values,
    /// and returns the increases.
    pub fn merge(&mut self, other: &Self) -> Self {
        Self {
            old: self.old.merge(&other.old),
            new: self.new.merge(&other.new),
        }
    }

    /// Adds the counts of other queries; no query may be in both sets.
    pub fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// Returns the increase of each count since an earlier copy of the same counts.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            old: self.old.since(&earlier.old),
            new: self.new.since(&earlier.new),
        }
    }

    /// Number of queries of the two versions together.
    pub fn queries(&self) -> u64 {
        self.old.queries + self.new.queries
    }
}
