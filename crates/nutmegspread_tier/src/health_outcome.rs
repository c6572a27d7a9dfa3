//! Outcome of one attempt, as far as it concerns the health of the target.

/// What the outcome of one attempt shows about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthOutcome {
    /// The target answered with success.
    Answered,
    /// The target answered with a failure, broke off its answer or could not be reached.
    Failed,
    /// The target shed the request.
    Shed,
    /// The attempt waited too long at the node for the busy target and was not sent.
    Late,
    /// The node cancelled the attempt before the target answered; the outcome shows nothing about
    /// the target.
    Cancelled,
}
