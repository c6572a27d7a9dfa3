//! Outcome of one attempt, as seen by the target's health.

/// What the outcome of one attempt shows about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthOutcome {
    /// The target answered with success.
    Answered,
    /// The target answered with a failure, broke off its answer or could not be reached.
    Failed,
    /// The target shed the request.
    Shed,
    /// The node cancelled the attempt before the target answered; nothing is known about the
    /// target.
    Cancelled,
}
