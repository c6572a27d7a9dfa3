//! The status of a rollout, as shown to operators.

use super::BrakeReason;
use nutmegspread_model::RolloutId;
use serde::Serialize;
use std::fmt;
use std::time::SystemTime;

/// State of a rollout, as far as one node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StatementState {
    /// The node knows no record of the rollout.
    Planned,
    /// The last confirmed record states that the rollout is in progress.
    Running,
    /// The node has stopped giving queries to the new version, and the platform's record does not
    /// state that yet.
    StoppedNotRecorded,
    /// The platform's record states that the rollout is done.
    Done,
    /// The platform's record states that the rollout is done, but a node set the brake, so this
    /// node gives the new version no queries.
    DoneButStopped,
    /// The platform's record states that the rollout was rolled back: all traffic stays on the old
    /// version.
    TakenBack,
}

/// The status that one node reports for one rollout.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RolloutStatement {
    /// The rollout that the status describes.
    pub rollout: RolloutId,
    /// State of the rollout.
    pub state: StatementState,
    /// Number of the current step, from 1; 0 before the first step.
    pub step: u32,
    /// Number of steps.
    pub step_count: u32,
    /// Share of queries, 0 to 1, that this node gives to the new version.
    pub share: f64,
    /// When the platform last confirmed the record, by the clock of the node that read or wrote it.
    pub confirmed: Option<SystemTime>,
    /// Why this node or another one set the brake, if one did.
    pub brake: Option<BrakeReason>,
    /// Reason stored in the record of a rollout that was rolled back.
    pub reason: Option<String>,
}

impl fmt::Display for StatementState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Planned => "planned",
            Self::Running => "running",
            Self::StoppedNotRecorded => "stopped, not yet recorded",
            Self::Done => "done",
            Self::DoneButStopped => "recorded as done, but stopped here",
            Self::TakenBack => "taken back",
        })
    }
}
