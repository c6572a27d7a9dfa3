//! The answer to a caller's order.

use super::OrderOutcome;
use nutmegspread_model::{RefusalReason, RunState};
use std::sync::Arc;

/// Answer to one submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderVerdict {
    /// The order ran, and its result is known.
    Ran {
        /// Result that the target returned.
        result: Arc<str>,
        /// Whether another submission with the same key ran the order.
        repeated: bool,
    },
    /// The order is refused.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Whether this submission may have run the order.
        run: RunState,
        /// Explanation for people; programs should use `reason` and `run`.
        message: &'static str,
    },
}

impl OrderVerdict {
    /// Refusal of a submission that has not run the order and never will.
    pub(super) fn not_run(reason: RefusalReason, message: &'static str) -> Self {
        Self::Refused {
            reason,
            run: RunState::NotRun,
            message,
        }
    }

    /// Refusal with an unknown outcome: the order has run or may have run, and its result is not
    /// available.
    pub(super) fn unknown(message: &'static str) -> Self {
        Self::Refused {
            reason: RefusalReason::OutcomeUnknown,
            run: RunState::Unknown,
            message,
        }
    }

    /// Answer to a submission of an order with this outcome.
    pub(super) fn from_outcome(outcome: &OrderOutcome, repeated: bool) -> Self {
        match outcome {
            OrderOutcome::Ran(result) => Self::Ran {
                result: result.clone(),
                repeated,
            },
            OrderOutcome::RanWithoutResult => {
                Self::unknown("the order ran, but its result was too large to store")
            }
            OrderOutcome::Unknown => {
                Self::unknown("the order was sent, but no usable answer was received")
            }
        }
    }

    /// Whether this is a refusal that says that the submission has not run the order.
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
