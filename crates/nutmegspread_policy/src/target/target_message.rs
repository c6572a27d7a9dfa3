//! Inputs and outputs of an owned target.

use super::WarmthMark;
use crate::routing::TargetShare;
use nutmegspread_model::{Incarnation, MonotonicTime, SubFailure, TargetState};
use std::time::Duration;

/// Id of a connection, unique within an owned target; newer connections have greater ids.
pub type ConnectionId = u64;
/// Id of a submitted request (its ticket), unique within an owned target.
pub type TicketId = u64;

/// How a request ended on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketResult {
    /// The target sent a whole reply to this request; the connection is reused.
    Replied {
        /// State that the target reported in the reply.
        state: TargetState,
        /// Incarnation (number of the process start) that the target reported in the reply.
        incarnation: Incarnation,
        /// Time from sending the request to the reply.
        latency: Duration,
    },
    /// The request failed. The connection is closed, unless the target answered that it did not
    /// start the request.
    Failed(SubFailure),
}

/// An event that an owned target has to process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetInput {
    /// Queue an idempotent request; it may be resent if its connection stalls.
    Submit {
        /// Ticket of the request.
        ticket: TicketId,
        /// Whether the request is a hedge or retry; a cold target gets no such requests.
        extra: bool,
        /// Time after which the caller no longer wants the result.
        deadline: MonotonicTime,
    },
    /// Queue a request that must not be sent twice.
    SubmitOnce {
        /// Ticket of the request.
        ticket: TicketId,
        /// Time after which the caller no longer wants the result.
        deadline: MonotonicTime,
    },
    /// A connection requested by [`TargetAction::Open`] is open.
    Opened {
        /// Id of the open connection.
        connection: ConnectionId,
    },
    /// A connection requested by [`TargetAction::Open`] could not be opened.
    OpenFailed {
        /// Id given in the action.
        connection: ConnectionId,
    },
    /// A request that was sent on a connection ended.
    Finished {
        /// Ticket of the request.
        ticket: TicketId,
        /// Reply or failure of the request.
        result: TicketResult,
    },
    /// The caller no longer wants the result of a request.
    Cancel {
        /// Ticket of the request.
        ticket: TicketId,
    },
    /// The target closed an idle connection.
    Closed {
        /// Id of the closed connection.
        connection: ConnectionId,
    },
    /// This node's share of the target's limits changed, or the target returned to service.
    Share {
        /// The new share; empty while the target accepts no work.
        share: TargetShare,
        /// The target's return count, which grows whenever the target returns to service; the
        /// target counts as cold after an increase.
        return_count: u64,
    },
    /// A mark received from another owner, which states whether the target is cold or warm.
    /// Repeated and older marks have no effect.
    Reported(WarmthMark),
    /// The time in [`TargetOutput::wake_at`] has been reached.
    Tick,
}

/// An action that the process has to take for an owned target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetAction {
    /// Open a connection to the target.
    Open {
        /// Id of the new connection.
        connection: ConnectionId,
    },
    /// Send a request on an idle connection. A request whose connection stalled is sent a second
    /// time, on another connection.
    Send {
        /// Ticket of the request.
        ticket: TicketId,
        /// Id of the connection to use.
        connection: ConnectionId,
    },
    /// End a request that is queued, without sending it.
    Refuse {
        /// Ticket of the request.
        ticket: TicketId,
        /// Failure to report to the caller.
        failure: SubFailure,
    },
    /// Close a connection and abort the request on it, if there is one.
    Close {
        /// Id of the connection to close.
        connection: ConnectionId,
    },
    /// Send a mark, which states whether the target is cold or warm, to the other owners.
    Report(WarmthMark),
}

/// Result of [`OwnedTarget::step`](super::OwnedTarget::step).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetOutput {
    /// Actions to take, in this order.
    pub actions: Vec<TargetAction>,
    /// Latest time for the next step, with [`TargetInput::Tick`] if there is no other input; `None`
    /// if there is nothing to wait for.
    pub wake_at: Option<MonotonicTime>,
}
