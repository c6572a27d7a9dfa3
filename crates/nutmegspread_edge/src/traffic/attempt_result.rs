//! Results of attempts.

use crate::traffic::target_reply::TargetReply;
use nutmegspread_tier::{AttemptOutcome, HealthOutcome};

/// Result of one attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The target sent a complete answer.
    Reply(TargetReply),
    /// The connection ended without a complete answer after bytes of the request were written.
    ConnectionLost,
    /// The attempt ended before any byte of the request was written.
    NotSent,
}

impl AttemptResult {
    /// Returns the outcome for the request, the outcome for the target's health, and the name of
    /// the result in logs and metrics.
    pub fn outcomes(&self) -> (AttemptOutcome, HealthOutcome, &'static str) {
        match self {
            Self::Reply(reply) if reply.is_not_run() => {
                (AttemptOutcome::NotRun, HealthOutcome::Shed, "send_not_run")
            }
            Self::Reply(reply) if reply.is_success() => (
                AttemptOutcome::Answered,
                HealthOutcome::Answered,
                "answered",
            ),
            Self::Reply(_) => (AttemptOutcome::Failed, HealthOutcome::Failed, "send_failed"),
            Self::ConnectionLost => (AttemptOutcome::Failed, HealthOutcome::Failed, "broken"),
            Self::NotSent => (AttemptOutcome::NotRun, HealthOutcome::Failed, "not_sent"),
        }
    }
}
