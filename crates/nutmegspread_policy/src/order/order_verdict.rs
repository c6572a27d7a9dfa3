//! What a caller is told about its order.

use super::OrderOutcome;
use nutmegspread_model::{RefusalReason, RunState};
use std::sync::Arc;

/// Answer to one submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderVerdict {
    /// The order ran.
    Ran {
        /// Result of the target.
        result: Arc<str>,
        /// Whether an earlier submission of the key ran it.
        repeated: bool,
    },
    /// The order is refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether this submission may have run it.
        run: RunState,
        /// Text for people.
        message: &'static str,
    },
}

impl OrderVerdict {
    /// Refusal of a submission that started nothing and never will.
    pub(super) fn not_run(reason: RefusalReason, message: &'static str) -> Self {
        Self::Refused {
            reason,
            run: RunState::NotRun,
            message,
        }
    }

    /// Refusal of a submission whose order may have run.
    pub(super) fn unknown(message: &'static str) -> Self {
        Self::Refused {
            reason: RefusalReason::OutcomeUnknown,
            run: RunState::Unknown,
            message,
        }
    }

    /// What a recorded outcome says to a submission.
    pub(super) fn recorded(outcome: &OrderOutcome, repeated: bool) -> Self {
        match outcome {
            OrderOutcome::Ran(result) => Self::Ran {
                result: result.clone(),
                repeated,
            },
            OrderOutcome::RanWithoutResult => {
                Self::unknown("the order ran and its result was too large to keep")
            }
            OrderOutcome::Unknown => Self::unknown("the order was sent and no answer came"),
        }
    }

    /// Whether the verdict says that the submission started nothing.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Refused {
                run: RunState::NotRun,
                ..
            }
        )
    }
}
