//! Answers of the old and the new version of a service.

use crate::{BadShare, RouteName, ServiceName};
use serde::{Deserialize, Serialize};

/// Answers of the targets of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Sends that have ended.
    pub sends: u64,
    /// Those that brought a failure or nothing.
    pub failed: u64,
    /// Those that took much longer than is usual on the route.
    pub slow: u64,
}

impl AnswerCounts {
    /// Counts the end of a send.
    pub fn count(&mut self, has_failed: bool, is_slow: bool) {
        self.sends += 1;
        self.failed += u64::from(has_failed);
        self.slow += u64::from(is_slow);
    }

    /// Adds the counts of another node.
    pub fn add(&mut self, other: &Self) {
        self.sends += other.sends;
        self.failed += other.failed;
        self.slow += other.slow;
    }

    /// Failed sends out of all.
    pub fn failed_share(&self) -> BadShare {
        BadShare {
            bad: self.failed,
            total: self.sends,
        }
    }

    /// Slow sends out of all.
    pub fn slow_share(&self) -> BadShare {
        BadShare {
            bad: self.slow,
            total: self.sends,
        }
    }
}

/// Answers of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Targets of any other version.
    pub old: AnswerCounts,
    /// Targets of the version that the rollout names.
    pub new: AnswerCounts,
}

/// What one node has seen of a rollout since it knows of it; counts only grow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutEvidence {
    /// The service that moves.
    pub service: ServiceName,
    /// The version that it moves to.
    pub version: String,
    /// Milliseconds since the order was first known.
    pub age_ms: u64,
    /// Whether the node found the version bad.
    pub is_braked: bool,
    /// Answers by route.
    pub routes: Vec<(RouteName, VersionCounts)>,
}
