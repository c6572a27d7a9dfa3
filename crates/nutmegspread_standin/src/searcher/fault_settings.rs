//! Faults that a searcher stand-in can show.

use nutmegspread_model::{RouteName, duration_ms};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What is wrong with the body of a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BodyFault {
    /// Nothing.
    #[default]
    Whole,
    /// The connection breaks in the middle of the body.
    Truncated,
    /// The body is not JSON.
    Garbage,
    /// The body never ends.
    Endless,
    /// The reply names another request and attempt.
    CrossedIds,
    /// The reply comes from another snapshot, and says so.
    WrongSnapshot,
}

/// Faults in force at a searcher stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Factor on the service time.
    pub slow_factor: f64,
    /// Fraction of requests, 0 to 1, that take `straggle_time` longer.
    pub straggle_fraction: f64,
    /// Extra service time of a straggling request, in milliseconds.
    #[serde(rename = "straggle_time_ms", with = "duration_ms")]
    pub straggle_time: Duration,
    /// Accepts connections and requests and never answers.
    pub silent: bool,
    /// Closes every new connection at once.
    pub refuse: bool,
    /// Refuses every request before it starts.
    pub shed_all: bool,
    /// Calls itself draining; it still works.
    pub draining: bool,
    /// What is wrong with the bodies of replies.
    pub body: BodyFault,
    /// Fraction of requests, 0 to 1, that end with status 500 after their work.
    pub error_fraction: f64,
    /// Growth of the service time for each other request at work, as a fraction.
    pub load_slowdown: f64,
    /// The one route that shows the faults; all of them when absent.
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
    /// Faults from now on; they stay as they are when absent.
    pub settings: Option<FaultSettings>,
    /// Turns cold again, with a new incarnation.
    pub turn_cold: bool,
    /// Silences every connection that is open now; new ones work.
    pub silence_connections: bool,
}
