//! The stage of an attempt, which determines whether the target may have run the request.

use nutmegspread_model::{RunState, SubFailure, SubOutcome};

/// Stage of one attempt; a later stage never changes back to an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptStage {
    /// Not sent on any connection yet.
    #[default]
    Queued,
    /// Sent on a connection; no answer or error yet.
    Sent,
    /// Ended with an answer or an error.
    Ended {
        /// Whether the target may have run the request: `NotRun` if the attempt was not sent on any
        /// connection or the target answered that it did not start the request; otherwise
        /// `Unknown`.
        run: RunState,
    },
}

impl AttemptStage {
    /// The stage after a failure. An attempt that had already ended keeps its run state.
    pub fn after_failure(self, failure: SubFailure) -> Self {
        let rejected = matches!(failure, SubFailure::Shed | SubFailure::SnapshotGone);
        let run = match self {
            Self::Queued => RunState::NotRun,
            Self::Sent if rejected => RunState::NotRun,
            Self::Sent => RunState::Unknown,
            Self::Ended { run } => run,
        };
        Self::Ended { run }
    }

    /// The outcome to report for an attempt that failed at this stage.
    pub fn failure_outcome(self, failure: SubFailure) -> SubOutcome {
        SubOutcome::Failure {
            failure,
            run: self.after_failure(failure).run_state(),
        }
    }

    /// Whether the target may have run the request.
    pub fn run_state(self) -> RunState {
        match self {
            Self::Queued => RunState::NotRun,
            Self::Sent => RunState::Unknown,
            Self::Ended { run } => run,
        }
    }
}

/// Whether any target may have run a request, given the stages of all its attempts.
pub fn run_state(stages: impl IntoIterator<Item = AttemptStage>) -> RunState {
    let may_have_run = |stage: AttemptStage| stage.run_state() == RunState::Unknown;
    if stages.into_iter().any(may_have_run) {
        RunState::Unknown
    } else {
        RunState::NotRun
    }
}
