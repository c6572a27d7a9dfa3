//! Inputs and outputs of a query run.

use nutmegspread_model::{
    AttemptId, MonotonicTime, NodeId, QueryAnswer, RefusalReason, RunState, SearchRequest,
    SubOutcome, TargetId,
};

/// An event that a query run has to process.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryInput {
    /// Send the first attempts. This is the first input of a run.
    Start,
    /// An attempt ended.
    Outcome {
        /// Id of the attempt that ended.
        attempt: AttemptId,
        /// Reply or failure of the attempt.
        outcome: SubOutcome,
    },
    /// The time in [`QueryOutput::wake_at`] has been reached.
    Tick,
}

/// An action that the process has to take for a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryAction {
    /// Send a sub-request to a target, through a node that owns a share of the target's limits.
    Send {
        /// Target that gets the sub-request.
        target: TargetId,
        /// The owning node that sends the sub-request to the target; `None` or this node's own id
        /// if this node sends it.
        owner: Option<NodeId>,
        /// Whether the attempt is a hedge or retry; a cold target gets no such attempts.
        extra: bool,
        /// The sub-request; it contains the attempt's id.
        request: SearchRequest,
    },
    /// Cancel an attempt whose result is no longer wanted.
    Cancel {
        /// Id of the attempt to cancel.
        attempt: AttemptId,
    },
    /// Answer the caller; the run has finished.
    Answer(QueryAnswer),
    /// Refuse the caller's request; the run has finished.
    Refuse {
        /// Reason given to the caller.
        reason: RefusalReason,
        /// Whether a target may have run the request.
        run: RunState,
        /// Human-readable explanation.
        message: String,
    },
}

/// Result of [`QueryRun::step`](super::QueryRun::step).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueryOutput {
    /// Actions to take, in this order.
    pub actions: Vec<QueryAction>,
    /// Latest time for the next step, with [`QueryInput::Tick`] if there is no other input; `None`
    /// once the run has finished.
    pub wake_at: Option<MonotonicTime>,
}
