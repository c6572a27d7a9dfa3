//! What part of an index an answer covers.

use crate::ShardId;
use serde::{Deserialize, Serialize};

/// Counts of shards whose whole reply is in the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoverageReport {
    /// Distinct shards with a complete merged reply.
    pub answered: u32,
    /// Shards of the snapshot.
    pub total: u32,
    /// Shards without a complete merged reply, in ascending order.
    pub missing: Vec<ShardId>,
}

impl CoverageReport {
    /// Whether no shard is missing.
    pub fn is_complete(&self) -> bool {
        self.answered == self.total
    }

    /// Answered fraction, 0 to 1; 1 for an index without shards.
    pub fn fraction(&self) -> f64 {
        if self.total == 0 {
            1.0
        } else {
            f64::from(self.answered) / f64::from(self.total)
        }
    }
}
