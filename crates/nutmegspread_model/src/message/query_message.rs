//! A caller's query and its answer.

use super::{CoverageReport, SearchHit};
use crate::{RequestId, RouteName, SnapshotId, VersionName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Body of `POST /v1/services/{service}/query`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// Route within the service.
    pub route: RouteName,
    /// Text that the searchers evaluate.
    pub query: String,
    /// Hits wanted, from 1.
    pub k: u32,
    /// Time that the caller waits, in milliseconds; the service's hard deadline when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

impl QueryRequest {
    /// Time that the caller waits, if it states one.
    pub fn deadline(&self) -> Option<Duration> {
        self.deadline_ms.map(Duration::from_millis)
    }
}

/// Answer to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// Request that this answers.
    pub request_id: RequestId,
    /// Snapshot from which every hit comes.
    pub snapshot: SnapshotId,
    /// Target version that served the query.
    pub version: VersionName,
    /// What part of the snapshot is covered.
    pub coverage: CoverageReport,
    /// Best hits, best first.
    pub hits: Vec<SearchHit>,
}
