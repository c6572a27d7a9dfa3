//! One whole answer of a target.

use std::time::Duration;

/// One whole answer of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetReply {
    /// Status code.
    pub status: u16,
    /// Id of the request that it answers, where the target says so.
    pub request_id: Option<String>,
    /// Signature of the target.
    pub stamp: Option<String>,
    /// Whether the target says that it did not run the request.
    pub says_not_run: bool,
    /// Whether the body is encoded and so is not the target's own.
    pub is_encoded: bool,
    /// Headers that go on to the caller.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body without transfer coding.
    pub body: Vec<u8>,
    /// Whether the target closes the connection after the answer.
    pub closes: bool,
    /// How long the target keeps the connection idle, where it says so.
    pub idle: Option<Duration>,
}

impl TargetReply {
    /// Whether the request certainly did not run.
    pub fn is_not_run(&self) -> bool {
        self.says_not_run || self.status == 421 || self.status == 429
    }

    /// Whether the answer is a success that the target signed.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.stamp.is_some() && !self.is_encoded
    }
}
