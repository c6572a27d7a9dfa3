//! What the caller of a request may be told after a response.

/// What the caller of a request may be told after a target's complete response, if it is the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerStatement {
    /// The response, with its status and the target's signature.
    Forward,
    /// Status 502 without the target's signature, which guarantees nothing.
    BadGateway,
    /// That the request has not run, unless it may have run in another attempt.
    NotRun,
}
