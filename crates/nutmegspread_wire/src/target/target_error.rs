//! Errors of the protocol between nodes and targets.

use nutmegspread_model::{RunState, SubFailure};
use thiserror::Error;

/// Why a call to a target failed.
#[derive(Debug, Error)]
pub enum TargetError {
    /// No connection could be opened.
    #[error("cannot connect to target {address}: {reason}")]
    ConnectFailed {
        /// Address of the target.
        address: String,
        /// Why the connection could not be opened.
        reason: String,
    },
    /// The connection was closed, or the request could not be built, before anything was sent.
    #[error("the connection was closed before the request was sent")]
    NotSent,
    /// The connection broke after the request was written to it.
    #[error("the connection broke: {0}")]
    ConnectionLost(String),
    /// No byte was received within [`super::ConnectionBounds::silence`].
    #[error("the target sent no byte within the silence limit")]
    Silent,
    /// The deadline passed before the reply was complete.
    #[error("the deadline passed")]
    TimedOut,
    /// The target shed the request: it rejected the request unprocessed because of overload.
    #[error("the target shed the request")]
    Shed,
    /// The target does not hold the requested snapshot, or no longer does.
    #[error("the target does not hold the snapshot")]
    SnapshotGone,
    /// The target answered with a status that has no variant of its own.
    #[error("the target answered with status {0}")]
    Status(u16),
    /// The reply is malformed, too large, or belongs to another request.
    #[error("bad reply: {0}")]
    BadReply(String),
}

impl TargetError {
    /// Returns the kind of failure that the policy crate acts on.
    pub fn failure(&self) -> SubFailure {
        match self {
            Self::ConnectFailed { .. } | Self::NotSent => SubFailure::ConnectFailed,
            Self::ConnectionLost(_) => SubFailure::ConnectionLost,
            Self::Silent => SubFailure::Silent,
            Self::TimedOut => SubFailure::TimedOut,
            Self::Shed => SubFailure::Shed,
            Self::SnapshotGone => SubFailure::SnapshotGone,
            Self::Status(_) => SubFailure::TargetError,
            Self::BadReply(_) => SubFailure::BadReply,
        }
    }

    /// Returns whether the target may have run the request.
    pub fn run(&self) -> RunState {
        match self {
            Self::ConnectFailed { .. } | Self::NotSent | Self::Shed | Self::SnapshotGone => {
                RunState::NotRun
            }
            _ => RunState::Unknown,
        }
    }
}
