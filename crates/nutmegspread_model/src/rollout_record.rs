//! What the platform keeps of a rollout.

use crate::{NodeId, RolloutId};
use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// State of a rollout; `Done` and `TakenBack` are final.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// The new version serves the share of the recorded step.
    #[default]
    Running,
    /// Every step passed; it counts only once a reader has confirmed it in time.
    Finished,
    /// The new version serves all traffic.
    Done {
        /// When a node had read the state `Finished` from the platform, by its clock.
        #[serde(rename = "confirmed_at_ms", with = "crate::time_ms")]
        confirmed_at: SystemTime,
    },
    /// The old version serves all traffic.
    TakenBack {
        /// Why, for people.
        reason: String,
    },
}

/// Spec of the platform object `Rollout`; its name is the rollout's id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRecord {
    /// Rollout that this describes.
    pub rollout: RolloutId,
    /// State of the move.
    pub state: RolloutState,
    /// Step in force, from 0, in the plan derived from the settings.
    pub step: u32,
    /// When the step was recorded, by the writer's clock, in milliseconds since the Unix epoch.
    #[serde(rename = "recorded_at_ms", with = "crate::time_ms")]
    pub recorded_at: SystemTime,
    /// Time limit of the move, fixed when the record was created.
    #[serde(rename = "finish_by_ms", with = "crate::time_ms")]
    pub finish_by: SystemTime,
    /// Queries of the new version that the writer had seen in the step before.
    pub samples: u64,
    /// Node that wrote this state.
    pub coordinator: NodeId,
    /// End of the writer's lease, by its clock; it saves double work and decides nothing.
    #[serde(rename = "lease_until_ms", with = "crate::time_ms")]
    pub lease_until: SystemTime,
}

impl RolloutRecord {
    /// Kind of the platform object.
    pub const KIND: &'static str = "Rollout";

    /// Whether this is a later state than another one of the same rollout.
    ///
    /// Among final states a take-back is later: it replaces only a `Done` confirmed too late.
    pub fn supersedes(&self, other: &Self) -> bool {
        let is_taken_back = |record: &Self| matches!(record.state, RolloutState::TakenBack { .. });
        self.rank() > other.rank() || (is_taken_back(self) && !is_taken_back(other))
    }

    fn rank(&self) -> (u8, u32) {
        let stage = match self.state {
            RolloutState::Running => 0,
            RolloutState::Finished => 1,
            RolloutState::Done { .. } | RolloutState::TakenBack { .. } => 2,
        };
        (stage, self.step)
    }
}
