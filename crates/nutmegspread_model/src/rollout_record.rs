//! State of a rollout, as stored by the platform.

use crate::{NodeId, RolloutId};
use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// State of a rollout; `Done` and `TakenBack` are final.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// The new version serves the share of the traffic that the recorded step has.
    #[default]
    Running,
    /// Every step is complete. The rollout is done only after a node has read this state from the
    /// platform early enough before the time limit.
    Finished,
    /// The new version serves all traffic.
    Done {
        /// When a node read the state `Finished` from the platform, by that node's clock, in
        /// milliseconds since the Unix epoch.
        #[serde(rename = "confirmed_at_ms", with = "crate::time_ms")]
        confirmed_at: SystemTime,
    },
    /// The rollout is rolled back: the old version serves all traffic.
    TakenBack {
        /// Why the rollout was rolled back, as a text for people.
        reason: String,
    },
}

/// Spec of the platform object `Rollout`, whose name is the id of the rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRecord {
    /// Id of the rollout.
    pub rollout: RolloutId,
    /// State of the rollout.
    pub state: RolloutState,
    /// Index of the current step, from 0, in the plan that nodes derive from the settings.
    pub step: u32,
    /// When this state was recorded, by the writer's clock, in milliseconds since the Unix epoch.
    #[serde(rename = "recorded_at_ms", with = "crate::time_ms")]
    pub recorded_at: SystemTime,
    /// Time limit of the rollout, fixed when the record was created, in milliseconds since the Unix
    /// epoch.
    #[serde(rename = "finish_by_ms", with = "crate::time_ms")]
    pub finish_by: SystemTime,
    /// Number of queries of the new version that the writer had counted in the previous step.
    pub samples: u64,
    /// Node that wrote this state.
    pub coordinator: NodeId,
    /// End of the writer's lease, by the writer's clock, in milliseconds since the Unix epoch. The
    /// lease only avoids duplicate work of other nodes; correctness does not depend on it.
    #[serde(rename = "lease_until_ms", with = "crate::time_ms")]
    pub lease_until: SystemTime,
}

impl RolloutRecord {
    /// Kind of the platform object.
    pub const KIND: &'static str = "Rollout";

    /// Whether this record is later than another one of the same rollout.
    ///
    /// `TakenBack` is later than `Done`, as a rollout that is done is rolled back only if it was
    /// confirmed too late.
    pub fn supersedes(&self, other: &Self) -> bool {
        let is_rolled_back = |record: &Self| matches!(record.state, RolloutState::TakenBack { .. });
        self.rank() > other.rank() || (is_rolled_back(self) && !is_rolled_back(other))
    }

    /// Sort key by which a record with a later state or step compares greater.
    fn rank(&self) -> (u8, u32) {
        let state_rank = match self.state {
            RolloutState::Running => 0,
            RolloutState::Finished => 1,
            RolloutState::Done { .. } | RolloutState::TakenBack { .. } => 2,
        };
        (state_rank, self.step)
    }
}
