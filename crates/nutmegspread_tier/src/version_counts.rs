//! Counts of the attempts on the old and the new version of a service.

use crate::{RouteName, SampleCounts, ServiceName};
use serde::{Deserialize, Serialize};

/// Counts of the attempts on targets of one version for one route.
///
/// An attempt is counted when it ends. Attempts that certainly did not run on their target are not
/// counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Number of all counted attempts.
    pub sends: u64,
    /// Number of counted attempts that ended without a complete and successful answer.
    pub failed: u64,
    /// Number of counted attempts that took much longer than is usual for the route, failed ones
    /// included.
    pub slow: u64,
}

impl AnswerCounts {
    /// Counts one attempt that has ended.
    pub fn count(&mut self, has_failed: bool, is_slow: bool) {
        self.sends += 1;
        self.failed += u64::from(has_failed);
        self.slow += u64::from(is_slow);
    }

    /// Adds the counts in `other`, such as those of another node.
    pub fn add(&mut self, other: &Self) {
        self.sends += other.sends;
        self.failed += other.failed;
        self.slow += other.slow;
    }

    /// The counted attempts as a sample in which failed attempts are the bad outcomes.
    pub fn failed_counts(&self) -> SampleCounts {
        SampleCounts {
            bad: self.failed,
            total: self.sends,
        }
    }

    /// The counted attempts as a sample in which slow attempts are the bad outcomes.
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
    /// Attempts on targets of any version other than the new one.
    pub old: AnswerCounts,
    /// Attempts on targets of the version that the rollout moves to.
    pub new: AnswerCounts,
}

impl VersionCounts {
    /// Number of counted attempts on both versions.
    pub fn sends(&self) -> u64 {
        self.old.sends + self.new.sends
    }
}

/// What one node has observed in a rollout since it learned of it; the counts never decrease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutEvidence {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version that the traffic moves to.
    pub version: String,
    /// Time since any node first knew of the rollout's order, in milliseconds, as far as this node
    /// has learned.
    pub age_ms: u64,
    /// Whether the version has been marked as bad, by this node or by a peer whose evidence this
    /// node received. The mark stops the version's traffic on every node.
    pub is_braked: bool,
    /// Counts of the node's own attempts on both versions, by route.
    pub routes: Vec<(RouteName, VersionCounts)>,
}
