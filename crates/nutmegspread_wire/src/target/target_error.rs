//! Errors of the protocol towards targets.

use nutmegspread_model::{RunState, SubFailure};
use thiserror::Error;

/// Why a call to a target failed.
#[derive(Debug, Error)]
pub enum TargetError {
    /// No connection could be opened.
    #[error("cannot connect to target {address}: {reason}")]
    ConnectFailed {
        /// Address that was tried.
        address: String,
        /// Text of the cause.
        reason: String,
    },
    /// The connection was closed before the request was handed to it.
    #[error("the connection was closed before the request was sent")]
    NotSent,
    /// The connection broke after the request was handed to it.
    #[error("the connection broke: {0}")]
    ConnectionLost(String),
    /// No byte came within the bound for silence.
    #[error("no byte came within the bound for silence")]
    Silent,
    /// The deadline passed.
    #[error("the deadline passed")]
    TimedOut,
    /// The target refused before it started.
    #[error("the target shed the request")]
    Shed,
    /// The target no longer holds the snapshot.
    #[error("the target does not hold the snapshot")]
    SnapshotGone,
    /// The target answered with an error status.
    #[error("the target answered with status {0}")]
    Status(u16),
    /// The reply is malformed, too large, or for another request.
    #[error("bad reply: {0}")]
    BadReply(String),
}

impl TargetError {
    /// The failure as the policy names it.
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

    /// Whether the target may have run the request.
    pub fn run(&self) -> RunState {
        match self {
            Self::ConnectFailed { .. } | Self::NotSent | Self::Shed | Self::SnapshotGone => {
                RunState::NotRun
            }
            _ => RunState::Unknown,
        }
    }
}
