//! What became of one send.

/// What one send says about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthOutcome {
    /// The target answered the request with success.
    Answered,
    /// The target failed the request, broke the answer off or could not be reached.
    Failed,
    /// The target had no room for the request.
    Shed,
    /// The send was taken back before anything could be learnt.
    Cancelled,
}
