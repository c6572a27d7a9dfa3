//! A rollout record and the time at which the platform last confirmed it.

use nutmegspread_model::{PlatformObject, ResourceVersion, RolloutRecord, RolloutState};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};

/// A rollout record as stored by the platform, and when the platform last confirmed it.
///
/// Nodes send their known records to one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRecord {
    /// The stored state of the rollout.
    pub record: RolloutRecord,
    /// Resource version of the platform object.
    pub version: ResourceVersion,
    /// Token of the write that stored this version, if the object has one.
    pub token: Option<String>,
    /// When the platform confirmed that this version is current, by the clock of the node that read
    /// or wrote the object.
    pub confirmed: SystemTime,
}

impl KnownRecord {
    /// Converts an object that was read at the given time; `None` if it has no resource version.
    pub fn from_object(
        object: PlatformObject<RolloutRecord>,
        confirmed: SystemTime,
    ) -> Option<Self> {
        let version = object.metadata.resource_version?;
        Some(Self {
            record: object.spec,
            version,
            token: object.metadata.write_token,
            confirmed,
        })
    }

    /// Time since the confirmation; zero if the confirmation lies in the future by this node's
    /// clock.
    pub fn age(&self, wall: SystemTime) -> Duration {
        wall.duration_since(self.confirmed).unwrap_or_default()
    }

    /// Whether the record is done and was confirmed before the time limit on every node's clock.
    ///
    /// Nodes stop the new version by their own clock when the time limit passes, so a later
    /// confirmation does not count.
    pub fn is_done(&self, clock_error: Duration) -> bool {
        let RolloutState::Done { confirmed_at } = self.record.state else {
            return false;
        };
        confirmed_at + clock_error <= self.record.finish_by
    }

    /// Whether the record is done or rolled back, even if it was confirmed after the time limit.
    pub fn is_final(&self) -> bool {
        matches!(
            self.record.state,
            RolloutState::Done { .. } | RolloutState::TakenBack { .. }
        )
    }

    /// Whether the record is rolled back.
    pub fn is_rolled_back(&self) -> bool {
        matches!(self.record.state, RolloutState::TakenBack { .. })
    }
}
