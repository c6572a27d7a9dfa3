//! One route: which requests it takes and where they go.

use crate::{RouteName, ServiceName};
use std::sync::Arc;
use std::time::Duration;

/// One route of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRoute {
    /// Name, unique within a configuration.
    pub name: RouteName,
    /// Host of the requests.
    pub host: String,
    /// Prefix of their path; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: RepeatRule,
    /// Longest time that a request may wait for its answer.
    pub timeout: Duration,
    /// Time within which an answer is worth its full value to the caller.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Targets on which one request may run; for a gather this holds for each shard.
    pub attempts: u32,
    /// Where requests go.
    pub destination: RouteDestination,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RepeatRule {
    /// The request is idempotent.
    Idempotent,
    /// The request runs at most once.
    #[default]
    AtMostOnce,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDestination {
    /// To one target of one service.
    Service(ServiceName),
    /// To one target of one of several services, by weight.
    Split(Arc<[(ServiceName, f64)]>),
    /// To one target of each shard.
    Gather(GatherRule),
}

/// How the answers of the shards make up one answer.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherRule {
    /// The shards, each a service of its own.
    pub shards: Arc<[ServiceName]>,
    /// Records in a complete answer.
    pub top: usize,
    /// Smallest share of the shards with which an answer is a success, 0 to 1.
    pub least_coverage: f64,
}

impl GatherRule {
    /// The number of shards that an answer needs at least; never 0.
    pub fn least_parts(&self) -> usize {
        let shards = self.shards.len();
        // The share is computed the way a reader of the answer does it, so that rounding agrees.
        (1..=shards)
            .find(|parts| *parts as f64 / shards as f64 >= self.least_coverage)
            .unwrap_or(shards.max(1))
    }
}
