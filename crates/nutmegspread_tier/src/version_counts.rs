//! Counts of the attempts on the old and the new version of a service.

use crate::{RouteName, SampleCounts, ServiceName, StorePosition};
use serde::{Deserialize, Serialize};

/// Counts of the attempts on targets of one version for one route.
///
/// An attempt is counted when it ends. Attempts that certainly did not run on their target count as
/// refused only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Number of all counted attempts.
    pub sends: u64,
    /// Number of counted attempts that ended without a complete and successful answer.
    pub failed: u64,
    /// Number of counted attempts that took much longer than is usual for the route, failed ones
    /// included.
    pub slow: u64,
    /// Number of attempts that the target refused to run or for which it could not be reached; not
    /// among `sends`. In messages it follows the encoded record, so that nodes of an earlier release
    /// can read the record.
    #[serde(skip)]
    pub refused: u64,
}

impl AnswerCounts {
    /// Counts one attempt that has ended.
    pub fn count(&mut self, has_failed: bool, is_slow: bool) {
        self.sends += 1;
        self.failed += u64::from(has_failed);
        self.slow += u64::from(is_slow);
    }

    /// Counts one attempt that was refused.
    pub fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// Number of attempts that ended with a complete and successful answer.
    pub fn served(&self) -> u64 {
        self.sends - self.failed.min(self.sends)
    }

    /// Number of all attempts that ended, refused ones included.
    pub fn attempts(&self) -> u64 {
        self.sends + self.refused
    }

    /// Whether more attempts were refused than served. A single refused attempt may be chance.
    pub fn is_mostly_refused(&self) -> bool {
        self.refused > self.served().max(1)
    }

    /// Adds the counts in `other`, such as those of another node.
    pub fn add(&mut self, other: &Self) {
        self.sends += other.sends;
        self.failed += other.failed;
        self.slow += other.slow;
        self.refused += other.refused;
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
    /// Number of all attempts on both versions that ended, refused ones included.
    pub fn attempts(&self) -> u64 {
        self.old.attempts() + self.new.attempts()
    }

    /// Whether the old version has served and the new one has not.
    pub fn is_new_unproven(&self) -> bool {
        self.old.served() > 0 && self.new.served() == 0
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
    /// Revision of the order that the node knows; 0 if it did not state it, as nodes of an earlier
    /// release. It tells evidence on an earlier order of the same version. Like
    /// [`AnswerCounts::refused`] it follows the encoded record in messages.
    #[serde(skip)]
    pub revision: u64,
    /// Era of the store that the sender knew, which the record of its message states; 0 if it named
    /// none.
    #[serde(skip)]
    pub era: u64,
    /// Counts of the node's own attempts on both versions, by route.
    pub routes: Vec<(RouteName, VersionCounts)>,
}

impl RolloutEvidence {
    /// Position in the history of the store at which the sender read the order.
    pub fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.revision,
        }
    }
}
