//! A route of the configuration: which requests it matches and which services get them.

use crate::{RouteName, ServiceName};
use std::sync::Arc;
use std::time::Duration;

/// One route of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRoute {
    /// Name of the route, unique within a configuration.
    pub name: RouteName,
    /// Host name that the requests are sent to.
    pub host: String,
    /// Prefix of the request paths; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: RepeatRule,
    /// Longest time that a request may wait for its answer.
    pub timeout: Duration,
    /// Latency to aim at: an answer within this time has its full value to the caller.
    pub objective: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Number of targets on which one request may run; in a gather, the number for each shard.
    pub attempts: u32,
    /// Services that get the requests.
    pub destination: RouteDestination,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RepeatRule {
    /// The request is idempotent and may run more than once.
    Idempotent,
    /// The request must not run more than once.
    #[default]
    AtMostOnce,
}

/// Services that get the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDestination {
    /// Each request goes to one target of this service.
    Service(ServiceName),
    /// Each request goes to one target of one of these services, chosen by weight.
    Split(Arc<[(ServiceName, f64)]>),
    /// Each request goes to one target of each shard.
    Gather(GatherRule),
}

/// How the answers of the shards are merged into one answer.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherRule {
    /// Shards that are queried; each one is a service.
    pub shards: Arc<[ServiceName]>,
    /// Number of records in a complete answer.
    pub top: usize,
    /// Smallest fraction of the shards, from 0 to 1, whose answers make a successful answer.
    pub least_coverage: f64,
}

impl GatherRule {
    /// Smallest number of shards whose answers make a successful answer; at least 1.
    pub fn least_parts(&self) -> usize {
        let shards = self.shards.len();
        // Callers compute the coverage of an answer by the same division, so rounding cannot
        // differ.
        (1..=shards)
            .find(|parts| *parts as f64 / shards as f64 >= self.least_coverage)
            .unwrap_or(shards.max(1))
    }
}
