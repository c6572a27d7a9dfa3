//! Counts of answers by service.

use indexmap::IndexMap;
use nutmegspread_model::{QueryAnswer, RefusalBody, ServiceName};
use serde::Serialize;
use std::sync::{Mutex, PoisonError};

/// Answers of one service since the node's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AnswerCounts {
    /// Answers that covered every shard.
    pub complete: u64,
    /// Answers that named missing shards.
    pub partial: u64,
    /// Queries that were refused.
    pub refused: u64,
}

/// Counts of all services.
#[derive(Debug, Default)]
pub struct AnswerTable {
    services: Mutex<IndexMap<ServiceName, AnswerCounts>>,
}

impl AnswerTable {
    /// Counts the end of a query.
    pub fn count(&self, service: &ServiceName, ending: &Result<QueryAnswer, RefusalBody>) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = services.entry(service.clone()).or_default();
        match ending {
            Ok(answer) if answer.coverage.is_complete() => counts.complete += 1,
            Ok(_) => counts.partial += 1,
            Err(_) => counts.refused += 1,
        }
    }

    /// Counts of all services that were asked.
    pub fn snapshot(&self) -> IndexMap<ServiceName, AnswerCounts> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services.clone()
    }
}
