//! Whether a request is admitted, and otherwise why not.

use std::time::Duration;

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The request may be sent.
    Admit,
    /// The request is refused before any attempt.
    Refuse(AdmissionRefusal),
}

/// What was missing to admit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingRoom {
    /// The node is behind its own work.
    Node,
    /// The targets of the route are behind.
    Targets,
    /// Recent requests of the route took longer than the time that this one has.
    Time,
}

impl MissingRoom {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Node => "node_overloaded",
            Self::Targets => "targets_overloaded",
            Self::Time => "no_time_left",
        }
    }
}

/// Why a request is refused, and when its caller should return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRefusal {
    /// What was missing.
    pub missing: MissingRoom,
    /// Level of the room that was missing, from 0 to 1.
    pub level: f64,
    /// Share of the requests like this one that are admitted, from 0 to 1.
    pub share: f64,
    /// Time until an answer, from the latest ones of the route; `None` if there were few.
    pub expected: Option<Duration>,
    /// Time after which the caller should return.
    pub retry_after: Duration,
}
