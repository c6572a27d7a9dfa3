//! A route of the configuration: which requests it matches, and which services get these requests.

use crate::{AttemptOutcome, RouteName, ServiceName};
use std::sync::Arc;
use std::time::Duration;

/// One route of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRoute {
    /// Name of the route, unique within a configuration.
    pub name: RouteName,
    /// Host name of the requests that the route matches.
    pub host: String,
    /// Path prefix of the requests that the route matches; begins and ends with a slash.
    pub prefix: String,
    /// Whether one request may run more than once.
    pub repeat: RepeatRule,
    /// Longest time that a request may wait for its answer.
    pub timeout: Duration,
    /// Latency to aim at: an answer within this time has its full value to the caller.
    pub objective: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no key where the configuration has tenants.
    pub is_public: bool,
    /// Largest number of targets on which one request may run; in a gather, this holds for each
    /// shard.
    pub attempts: u32,
    /// Services that get the requests.
    pub destination: RouteDestination,
}

/// Whether one request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RepeatRule {
    /// The request is idempotent and may run more than once.
    Idempotent,
    /// The request must not run more than once.
    #[default]
    AtMostOnce,
}

impl RepeatRule {
    /// Whether a request may be sent again after an attempt with this outcome.
    pub fn allows_repeat(self, outcome: AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::Answered => false,
            AttemptOutcome::NotRun | AttemptOutcome::NotSent => true,
            AttemptOutcome::Failed => self == Self::Idempotent,
        }
    }
}

/// Services that get the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDestination {
    /// Each request is answered by one target of this service.
    Service(ServiceName),
    /// Each request is answered by one target of one of these services. The service is chosen by
    /// weight; only the ratios of the weights matter.
    Split(Arc<[(ServiceName, f64)]>),
    /// Each request is answered by one target of each shard, and the answers are merged.
    Gather(GatherRule),
}

/// Which shards get a request, and how their answers are merged into one answer.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherRule {
    /// Shards that get the request; each one is a service.
    pub shards: Arc<[ServiceName]>,
    /// Largest number of records in the merged answer.
    pub top: usize,
    /// Smallest fraction of the shards, from 0 to 1, that must answer for the merged answer to
    /// count as successful.
    pub least_coverage: f64,
}

impl GatherRule {
    /// Smallest number of shards that must answer for the merged answer to count as successful; at
    /// least 1.
    pub fn least_parts(&self) -> usize {
        let shards = self.shards.len();
        // Callers compute the coverage of an answer by the same division, so they round in the same
        // way and come to the same result.
        (1..=shards)
            .find(|parts| *parts as f64 / shards as f64 >= self.least_coverage)
            .unwrap_or(shards.max(1))
    }
}
