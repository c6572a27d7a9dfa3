//! Counts of the attempts on the old and the new version of a service.

use crate::{RouteName, SampleCounts, ServiceName};
use serde::{Deserialize, Serialize};

/// Counts of the attempts on targets of one version for one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Attempts that have ended.
    pub sends: u64,
    /// Attempts that ended with a failure or without an answer.
    pub failed: u64,
    /// Attempts that took much longer than is usual for the route.
    pub slow: u64,
}

impl AnswerCounts {
    /// Counts an attempt that has ended.
    pub fn count(&mut self, has_failed: bool, is_slow: bool) {
        self.sends += 1;
        self.failed += u64::from(has_failed);
        self.slow += u64::from(is_slow);
    }

    /// Adds other counts, such as those of another node.
    pub fn add(&mut self, other: &Self) {
        self.sends += other.sends;
        self.failed += other.failed;
        self.slow += other.slow;
    }

    /// Failed attempts among all attempts.
    pub fn failed_counts(&self) -> SampleCounts {
        SampleCounts {
            bad: self.failed,
            total: self.sends,
        }
    }

    /// Slow attempts among all attempts.
    pub fn slow_counts(&self) -> SampleCounts {
        SampleCounts {
            bad: self.slow,
            total: self.sends,
        }
    }
}

/// Counts of the attempts on both versions for one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Attempts on targets of any other version.
    pub old: AnswerCounts,
    /// Attempts on targets of the version that the rollout moves to.
    pub new: AnswerCounts,
}

/// What one node has observed in a rollout since it learned of it; the counts never decrease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutEvidence {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version that the traffic moves to.
    pub version: String,
    /// Milliseconds since any node first knew of the order, as far as this node has learned.
    pub age_ms: u64,
    /// Whether the node knows the version as marked bad, which stops its traffic on every node.
    pub is_braked: bool,
    /// Counts of the node's attempts on both versions, by route.
    pub routes: Vec<(RouteName, VersionCounts)>,
}
