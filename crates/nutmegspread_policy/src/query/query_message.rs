//! Inputs and outputs of a query run.

use nutmegspread_model::{
    AttemptId, MonotonicTime, NodeId, QueryAnswer, RefusalReason, RunState, SearchRequest,
    SubOutcome, TargetId,
};

/// Something that happened to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryInput {
    /// The query begins.
    Start,
    /// An attempt ended.
    Outcome {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: SubOutcome,
    },
    /// The time asked for by `wake_at` has come.
    Tick,
}

/// Something to do for a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryAction {
    /// Send a sub-request through an owner of the target.
    Send {
        /// Target to ask.
        target: TargetId,
        /// Owner to send it through; `None` for this node, whose own id may be named as well.
        owner: Option<NodeId>,
        /// Whether it is a hedge or retry; a cold target gets none.
        extra: bool,
        /// What to ask; it names the attempt.
        request: SearchRequest,
    },
    /// Cancel an attempt whose result is no longer wanted.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer the caller; the run is over.
    Answer(QueryAnswer),
    /// Refuse the caller; the run is over.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// Whether it may have run.
        run: RunState,
        /// Text for people.
        message: String,
    },
}

/// Result of one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueryOutput {
    /// What to do, in order.
    pub actions: Vec<QueryAction>,
    /// When to step with [`QueryInput::Tick`] at the latest; `None` when the run is over.
    pub wake_at: Option<MonotonicTime>,
}
