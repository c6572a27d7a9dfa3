//! How a send ended, and what that says.

use crate::traffic::target_reply::TargetReply;
use nutmegspread_tier::{HealthOutcome, SendOutcome};

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
    pub fn judge(&self) -> (SendOutcome, HealthOutcome, &'static str) {
        match self {
            Self::Reply(reply) if reply.is_not_run() => {
                (SendOutcome::NotRun, HealthOutcome::Shed, "send_not_run")
            }
            Self::Reply(reply) if reply.is_success() => {
                (SendOutcome::Answered, HealthOutcome::Answered, "answered")
            }
            Self::Reply(_) => (SendOutcome::Failed, HealthOutcome::Failed, "send_failed"),
            Self::Broken => (SendOutcome::Failed, HealthOutcome::Failed, "broken"),
            Self::NotSent => (SendOutcome::NotRun, HealthOutcome::Failed, "not_sent"),
        }
    }
}
