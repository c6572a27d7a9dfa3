//! A record together with what is known about its age.

use nutmegspread_model::{PlatformObject, ResourceVersion, RolloutRecord, RolloutState};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};

/// A record and when the platform confirmed it; nodes pass it on to one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRecord {
    /// The record.
    pub record: RolloutRecord,
    /// Version of the platform object.
    pub version: ResourceVersion,
    /// Token of the write that made it.
    pub token: Option<String>,
    /// When the platform confirmed it, by the clock of the node that asked.
    pub confirmed: SystemTime,
}

impl KnownRecord {
    /// Takes over an object as read at the given time; `None` when it has no version.
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

    /// Time since the confirmation; zero when the clocks put it in the future.
    pub fn age(&self, wall: SystemTime) -> Duration {
        wall.duration_since(self.confirmed).unwrap_or_default()
    }

    /// Whether it is recorded as done, and was confirmed before any node stopped on time.
    pub fn is_done(&self, clock_error: Duration) -> bool {
        let RolloutState::Done { confirmed_at } = self.record.state else {
            return false;
        };
        confirmed_at + clock_error <= self.record.finish_by
    }

    /// Whether it is recorded as done or taken back, in time or not.
    pub fn is_final(&self) -> bool {
        matches!(
            self.record.state,
            RolloutState::Done { .. } | RolloutState::TakenBack { .. }
        )
    }

    /// Whether it is recorded as taken back.
    pub fn is_taken_back(&self) -> bool {
        matches!(self.record.state, RolloutState::TakenBack { .. })
    }
}
