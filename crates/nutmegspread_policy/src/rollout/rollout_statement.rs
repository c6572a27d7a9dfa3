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
    /// The newest record that the node knows states that the rollout is in progress: running, or
    /// finished but not done yet.
    Running,
    /// The node gives no queries to the new version, because the brake is set or the time limit has
    /// passed, but the platform's record is not known to be rolled back yet.
    StoppedNotRecorded,
    /// The platform's record states that the rollout is done.
    Done,
    /// The platform's record states that the rollout is done, but the brake is set, so this node
    /// gives the new version no queries.
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
    /// Fraction of queries that this node gives to the new version, 0 to 1. In the first step, a
    /// route may get another fraction.
    pub share: f64,
    /// When the platform last confirmed the record by answering a read or write, by the clock of
    /// the node that read or wrote it; `None` if no record is known.
    pub confirmed: Option<SystemTime>,
    /// Why a node set the brake, which stops the new version's traffic on every node; `None` if no
    /// node did.
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
