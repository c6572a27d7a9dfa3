//! Counts of both versions over the same time.

use super::OutcomeCount;
use serde::{Deserialize, Serialize};

/// Counts of the old and the new version over the same time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountPair {
    /// Old version.
    pub old: OutcomeCount,
    /// New version.
    pub new: OutcomeCount,
}

impl CountPair {
    /// Takes the larger of each count and returns what was added.
    pub fn merge(&mut self, other: &Self) -> Self {
        Self {
            old: self.old.merge(&other.old),
            new: self.new.merge(&other.new),
        }
    }

    /// Adds counts of other queries.
    pub fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// Counts since an earlier state of the same counts.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            old: self.old.since(&earlier.old),
            new: self.new.since(&earlier.new),
        }
    }

    /// Queries of both versions.
    pub fn queries(&self) -> u64 {
        self.old.queries + self.new.queries
    }
}
