//! Faults that a searcher stand-in can simulate.

use nutmegspread_model::{RouteName, duration_ms};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Fault in the body of search replies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BodyFault {
    /// No fault: the body is whole and correct.
    #[default]
    Whole,
    /// The connection closes in the middle of the body.
    Truncated,
    /// The body is not JSON.
    Garbage,
    /// The body never ends.
    Endless,
    /// The reply contains the ids of another request and attempt.
    CrossedIds,
    /// The reply has the hits and the id of a snapshot other than the requested one.
    WrongSnapshot,
}

/// Faults that a searcher stand-in simulates; the default simulates none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Factor by which every service time is multiplied.
    pub slow_factor: f64,
    /// Fraction of requests, 0 to 1, whose service time is `straggle_time` longer.
    pub straggle_fraction: f64,
    /// Time by which `straggle_fraction` of the requests take longer, in milliseconds.
    #[serde(rename = "straggle_time_ms", with = "duration_ms")]
    pub straggle_time: Duration,
    /// Accepts connections and requests but never answers, except under `/standin/`.
    pub silent: bool,
    /// Closes every new connection as soon as it is accepted.
    pub refuse: bool,
    /// Sheds every request without running it.
    pub shed_all: bool,
    /// Reports the state `draining` in its replies but still runs requests.
    pub draining: bool,
    /// Fault in the bodies of search replies.
    pub body: BodyFault,
    /// Fraction of requests, 0 to 1, that run to their end but are answered with status 500.
    pub error_fraction: f64,
    /// Fraction by which each other running request lengthens the service time.
    pub load_slowdown: f64,
    /// Route whose searches show the faults; searches of all routes when absent.
    ///
    /// `silent`, `refuse` and the faults of orders do not depend on the route.
    pub route: Option<RouteName>,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            straggle_fraction: 0.0,
            straggle_time: Duration::ZERO,
            silent: false,
            refuse: false,
            shed_all: false,
            draining: false,
            body: BodyFault::Whole,
            error_fraction: 0.0,
            load_slowdown: 0.0,
            route: None,
        }
    }
}

/// Body of `POST /standin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultChange {
    /// Replaces all faults; when absent, the faults stay as they are.
    pub settings: Option<FaultSettings>,
    /// Makes the stand-in cold again, with a new incarnation.
    pub turn_cold: bool,
    /// Makes all connections that are open now silent; new connections are answered.
    pub silence_connections: bool,
}
