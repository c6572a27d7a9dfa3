//! Outcome of one query.

use nutmegspread_model::{RequestId, RunState};
use std::time::Duration;

/// How a query ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryEnding {
    /// The answer covers every shard.
    Complete,
    /// The answer lists missing shards.
    Partial,
    /// The node refused the query and stated whether the query may have run.
    Refused(RunState),
    /// Neither an answer nor a refusal was received, for this reason: the connection failed, the
    /// request timed out, or the body could not be decoded.
    Failed(String),
}

/// Outcome and times of one query of a load run.
#[derive(Clone, Debug)]
pub struct QueryOutcome {
    /// Time at which the query was due, from the start of the case.
    pub due: Duration,
    /// Time from when the query was due until it ended.
    pub latency: Duration,
    /// Time from when the query was sent until it ended.
    pub service_time: Duration,
    /// How the query ended.
    pub ending: QueryEnding,
    /// Fraction of the shards that the answer covers, 0 to 1.
    pub coverage: f64,
    /// Request id that the node or the baseline assigned to the query.
    pub request_id: Option<RequestId>,
    /// Version of the service that answered the query.
    pub version: Option<String>,
    /// Faults that the check of the answer found.
    pub faults: Vec<String>,
}

impl QueryOutcome {
    /// Outcome of a query that got neither an answer nor a refusal.
    pub fn failed(due: Duration, latency: Duration, reason: String) -> Self {
        Self {
            due,
            latency,
            service_time: latency,
            ending: QueryEnding::Failed(reason),
            coverage: 0.0,
            request_id: None,
            version: None,
            faults: Vec::new(),
        }
    }

    /// Whether the query got an answer, complete or partial.
    pub fn is_answered(&self) -> bool {
        matches!(self.ending, QueryEnding::Complete | QueryEnding::Partial)
    }
}
