//! Inputs and outputs of an owned target.

use super::WarmthMark;
use crate::routing::TargetShare;
use nutmegspread_model::{Incarnation, MonotonicTime, SubFailure, TargetState};
use std::time::Duration;

/// Number of one connection, unique within an owned target.
pub type ConnectionId = u64;
/// Number of one admitted piece of work, unique within an owned target.
pub type TicketId = u64;

/// How a piece of work ended on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketResult {
    /// A whole reply to this very request; the connection may be used again.
    Replied {
        /// What the target says of itself.
        state: TargetState,
        /// Number of the target's process start.
        incarnation: Incarnation,
        /// Time from hand-over to reply.
        latency: Duration,
    },
    /// Anything else; the connection is closed unless the target said that it did not start.
    Failed(SubFailure),
}

/// Something that happened at an owned target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetInput {
    /// Idempotent work arrives; it may be sent anew when a connection goes silent.
    Submit {
        /// Its ticket.
        ticket: TicketId,
        /// Whether it is a hedge or retry; a cold target gets none.
        extra: bool,
        /// When it is no longer wanted.
        deadline: MonotonicTime,
    },
    /// Work arrives that must not be sent twice.
    SubmitOnce {
        /// Its ticket.
        ticket: TicketId,
        /// When it is no longer wanted.
        deadline: MonotonicTime,
    },
    /// A connection asked for by [`TargetAction::Open`] is usable.
    Opened {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection could not be opened.
    OpenFailed {
        /// The connection.
        connection: ConnectionId,
    },
    /// Work handed to a connection ended.
    Finished {
        /// Its ticket.
        ticket: TicketId,
        /// How it ended.
        result: TicketResult,
    },
    /// The caller no longer wants the work.
    Cancel {
        /// Its ticket.
        ticket: TicketId,
    },
    /// An idle connection was closed by the target.
    Closed {
        /// The connection.
        connection: ConnectionId,
    },
    /// What this node may use of the target changed, or whether it takes work.
    Share {
        /// The new share; nothing while the target takes no work.
        share: TargetShare,
        /// Count of returns; a change means cold start.
        return_count: u64,
    },
    /// Another owner's mark of the target's warmth; repeats and older ones have no effect.
    Reported(WarmthMark),
    /// The time asked for by `wake_at` has come.
    Tick,
}

/// Something to do at an owned target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetAction {
    /// Open a connection.
    Open {
        /// Number to give it.
        connection: ConnectionId,
    },
    /// Hand work to an idle connection; a second time after silence on the first.
    Send {
        /// The work.
        ticket: TicketId,
        /// The connection.
        connection: ConnectionId,
    },
    /// End work that was never handed to a connection.
    Refuse {
        /// The work.
        ticket: TicketId,
        /// Why.
        failure: SubFailure,
    },
    /// Close a connection, and whatever runs on it.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Tell the other owners how warm the target is.
    Report(WarmthMark),
}

/// Result of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetOutput {
    /// What to do, in order.
    pub actions: Vec<TargetAction>,
    /// When to step with [`TargetInput::Tick`] at the latest.
    pub wake_at: Option<MonotonicTime>,
}
