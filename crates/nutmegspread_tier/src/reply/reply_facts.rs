//! The parts of a response that show whether its request has run.

/// The parts of a target's complete response that show whether its request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyFacts {
    /// HTTP status code.
    pub status: u16,
    /// Whether the header is present which states that the target did not run the request.
    pub says_not_run: bool,
    /// Whether the target's signature is present.
    pub is_signed: bool,
    /// Whether the body has a content encoding, so that it differs from what the target signed.
    pub is_encoded: bool,
}
