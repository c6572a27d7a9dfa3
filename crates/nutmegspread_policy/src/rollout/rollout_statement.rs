//! What an operator is told of a rollout.

use super::BrakeReason;
use nutmegspread_model::RolloutId;
use serde::Serialize;
use std::fmt;
use std::time::SystemTime;

/// State of a rollout as one node can vouch for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StatementState {
    /// No record is known.
    Planned,
    /// The record, when last confirmed, said that it runs.
    Running,
    /// The new version gets no work from this node; the platform does not say so yet.
    StoppedNotRecorded,
    /// The platform's record says done.
    Done,
    /// The platform's record says done, but a node found the version bad before it knew.
    DoneButStopped,
    /// The platform's record says taken back.
    TakenBack,
}

/// Statement of one node about one rollout.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RolloutStatement {
    /// Rollout that it is about.
    pub rollout: RolloutId,
    /// State of the move.
    pub state: StatementState,
    /// Step in force, from 1; 0 before the first.
    pub step: u32,
    /// Count of steps.
    pub step_count: u32,
    /// Share of queries that this node gives to the new version, 0 to 1.
    pub share: f64,
    /// When the platform last confirmed the record, by the clock of the node that asked.
    pub confirmed: Option<SystemTime>,
    /// Why the version was stopped on this node or another one.
    pub brake: Option<BrakeReason>,
    /// Reason in the record of a rollout that was taken back.
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
