//! How far an attempt has come, and what that says of the request.

use nutmegspread_model::{RunState, SubFailure, SubOutcome};

/// Stage of one attempt; it only moves forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptStage {
    /// Not handed to any connection.
    #[default]
    Queued,
    /// Handed over, and nothing is known since.
    Handed,
    /// Ended, and whether the target may have started it.
    Answered {
        /// `NotRun` only when no connection got it or the target said that it did not start.
        run: RunState,
    },
}

impl AttemptStage {
    /// The stage after a failure.
    pub fn after_failure(self, failure: SubFailure) -> Self {
        let refused = matches!(failure, SubFailure::Shed | SubFailure::SnapshotGone);
        let run = match self {
            Self::Queued => RunState::NotRun,
            Self::Handed if refused => RunState::NotRun,
            Self::Handed => RunState::Unknown,
            Self::Answered { run } => run,
        };
        Self::Answered { run }
    }

    /// The outcome of an attempt that failed at this stage.
    pub fn failure_outcome(self, failure: SubFailure) -> SubOutcome {
        SubOutcome::Failure {
            failure,
            run: self.after_failure(failure).run(),
        }
    }

    /// Whether the target may have started the attempt.
    pub fn run(self) -> RunState {
        match self {
            Self::Queued => RunState::NotRun,
            Self::Handed => RunState::Unknown,
            Self::Answered { run } => run,
        }
    }
}

/// Whether a request may have run, given all of its attempts.
pub fn run_state(stages: impl IntoIterator<Item = AttemptStage>) -> RunState {
    let started = |stage: AttemptStage| stage.run() == RunState::Unknown;
    if stages.into_iter().any(started) {
        RunState::Unknown
    } else {
        RunState::NotRun
    }
}
