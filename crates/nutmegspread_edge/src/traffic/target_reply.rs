//! Complete answer of a target.

use crate::traffic::held_bytes::HeldBytes;
use nutmegspread_tier::{CallerStatement, RepeatRule, ReplyFacts, ReplyVerdict};
use std::time::Duration;

/// Complete answer of a target.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct TargetReply {
    /// HTTP status code.
    pub status: u16,
    /// Id of the request that the answer belongs to, if the target states it.
    pub request_id: Option<String>,
    /// Signature of the target; only answers of the target itself have one.
    pub stamp: Option<String>,
    /// Whether the answer carries the header which states that the request was not executed.
    pub says_not_run: bool,
    /// Whether the body has a content encoding, so that it differs from what the target signed.
    pub is_encoded: bool,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body, decoded from any transfer encoding.
    pub body: Vec<u8>,
    /// Count of the body's bytes among those that the node holds.
    pub held: Option<HeldBytes>,
    /// Whether the target closes the connection after this answer.
    pub closes: bool,
    /// Time for which the target keeps an idle connection open, if it states it.
    pub idle: Option<Duration>,
}

impl TargetReply {
    /// Decides whether the request has run, what its caller may be told, and whether it may be sent
    /// again.
    pub fn verdict(&self, repeat: RepeatRule) -> ReplyVerdict {
        let facts = ReplyFacts {
            status: self.status,
            says_not_run: self.says_not_run,
            is_signed: self.stamp.is_some(),
            is_encoded: self.is_encoded,
        };
        ReplyVerdict::new(facts, repeat)
    }

    /// Whether the caller may get the answer as it is.
    pub fn may_be_forwarded(&self, repeat: RepeatRule) -> bool {
        self.verdict(repeat).statement == CallerStatement::Forward
    }
}
