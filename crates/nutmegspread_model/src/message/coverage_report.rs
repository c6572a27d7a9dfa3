//! The shards of a snapshot that an answer to a query covers.

use crate::ShardId;
use serde::{Deserialize, Serialize};

/// Number of shards whose complete reply is part of an answer, and the shards that are missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoverageReport {
    /// Number of shards whose complete reply is merged into the answer.
    pub answered: u32,
    /// Number of shards in the snapshot.
    pub total: u32,
    /// Shards whose complete reply is not part of the answer, in ascending order.
    pub missing: Vec<ShardId>,
}

impl CoverageReport {
    /// Whether the answer covers every shard.
    pub fn is_complete(&self) -> bool {
        self.answered == self.total
    }

    /// Fraction of the shards that the answer covers, from 0 to 1; 1 if there are no shards.
    pub fn fraction(&self) -> f64 {
        if self.total == 0 {
            1.0
        } else {
            f64::from(self.answered) / f64::from(self.total)
        }
    }
}
