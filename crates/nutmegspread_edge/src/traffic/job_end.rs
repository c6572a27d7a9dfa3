//! How a send ended, and what that says.

use crate::traffic::target_reply::TargetReply;
use nutmegspread_tier::{AttemptOutcome, HealthOutcome};

/// How a send ended.
#[derive(Debug)]
pub enum JobEnd {
    /// With an answer of the target.
    Reply(TargetReply),
    /// Without a whole answer, after bytes of it were written.
    Broken,
    /// Before any byte of it was written.
    NotSent,
}

impl JobEnd {
    /// What the end says of the request and of the target, and its name in logs and metrics.
    pub fn judge(&self) -> (AttemptOutcome, HealthOutcome, &'static str) {
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
            Self::Broken => (AttemptOutcome::Failed, HealthOutcome::Failed, "broken"),
            Self::NotSent => (AttemptOutcome::NotRun, HealthOutcome::Failed, "not_sent"),
        }
    }
}
