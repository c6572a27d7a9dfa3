//! A rollout record and the time at which the platform last confirmed it.

use nutmegspread_model::{PlatformObject, ResourceVersion, RolloutRecord, RolloutState};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};

/// A rollout record as stored by the platform, and when the platform last confirmed it by answering
/// a read or write.
///
/// Nodes send their known records to their peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRecord {
    /// The stored state of the rollout.
    pub record: RolloutRecord,
    /// Resource version of the platform object that stores the record; it changes with each write.
    pub version: ResourceVersion,
    /// Token of the write that stored this resource version, if the object has one.
    pub token: Option<String>,
    /// When the platform last confirmed that this resource version is current, by the clock of the
    /// node that read or wrote the object.
    pub confirmed: SystemTime,
}

impl KnownRecord {
    /// Converts an object that the platform returned at the time `confirmed`; `None` if the object
    /// has no resource version.
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

    /// Whether the rollout is recorded as done, and its finished record was confirmed before the
    /// time limit (`finish_by`) on every node's clock.
    ///
    /// Each node stops the new version when the time limit passes on its own clock, so a rollout
    /// whose confirmation came later does not count as done.
    pub fn is_done(&self, clock_error: Duration) -> bool {
        let RolloutState::Done { confirmed_at } = self.record.state else {
            return false;
        };
        confirmed_at + clock_error <= self.record.finish_by
    }

    /// Whether the rollout is recorded as done or rolled back. Unlike for [`Self::is_done`], the
    /// time of the confirmation does not matter.
    pub fn is_final(&self) -> bool {
        matches!(
            self.record.state,
            RolloutState::Done { .. } | RolloutState::TakenBack { .. }
        )
    }

    /// Whether the rollout is recorded as rolled back: all traffic stays on the old version.
    pub fn is_rolled_back(&self) -> bool {
        matches!(self.record.state, RolloutState::TakenBack { .. })
    }
}
