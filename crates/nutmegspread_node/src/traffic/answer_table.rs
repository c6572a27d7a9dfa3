//! Numbers of answers and refusals by service.

use indexmap::IndexMap;
use nutmegspread_model::{QueryAnswer, RefusalBody, ServiceName};
use serde::Serialize;
use std::sync::{Mutex, PoisonError};

/// Numbers of answers and refusals for one service since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AnswerCounts {
    /// Number of answers that covered every shard.
    pub complete: u64,
    /// Number of answers that lacked shards and named them.
    pub partial: u64,
    /// Number of refused queries.
    pub refused: u64,
}

/// Answer counts of all services.
#[derive(Debug, Default)]
pub struct AnswerTable {
    services: Mutex<IndexMap<ServiceName, AnswerCounts>>,
}

impl AnswerTable {
    /// Counts the result of a query.
    pub fn count(&self, service: &ServiceName, result: &Result<QueryAnswer, RefusalBody>) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = services.entry(service.clone()).or_default();
        match result {
            Ok(answer) if answer.coverage.is_complete() => counts.complete += 1,
            Ok(_) => counts.partial += 1,
            Err(_) => counts.refused += 1,
        }
    }

    /// A copy of the counts of all services that have received a query.
    pub fn counts(&self) -> IndexMap<ServiceName, AnswerCounts> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services.clone()
    }
}
