//! What became of one query.

use nutmegspread_model::{RequestId, RunState};
use std::time::Duration;

/// How a query ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryEnding {
    /// An answer that covers every shard.
    Complete,
    /// An answer that names missing shards.
    Partial,
    /// A refusal, and whether it says that the query may have run.
    Refused(RunState),
    /// No answer and no refusal: the connection broke, or the body was not understood.
    Failed(String),
}

/// One query of a load run.
#[derive(Clone, Debug)]
pub struct QueryOutcome {
    /// When it was due, from the start of the case.
    pub due: Duration,
    /// Time from when it was due until its end.
    pub latency: Duration,
    /// Time from when it was sent until its end.
    pub service_time: Duration,
    /// How it ended.
    pub ending: QueryEnding,
    /// Covered fraction of the shards, 0 to 1.
    pub coverage: f64,
    /// Id that the node gave to it.
    pub request_id: Option<RequestId>,
    /// Version that served it.
    pub version: Option<String>,
    /// What is wrong with the answer.
    pub faults: Vec<String>,
}

impl QueryOutcome {
    /// An outcome without an answer.
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

    /// Whether an answer came, complete or not.
    pub fn is_answered(&self) -> bool {
        matches!(self.ending, QueryEnding::Complete | QueryEnding::Partial)
    }
}
