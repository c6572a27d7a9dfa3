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
    /// Text of the query, which the targets evaluate.
    pub query: String,
    /// Number of hits to return, from 1.
    pub k: u32,
    /// Time that the caller waits, in milliseconds; if absent, the service's hard deadline applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

impl QueryRequest {
    /// Time that the caller waits; `None` if the request does not state one.
    pub fn deadline(&self) -> Option<Duration> {
        self.deadline_ms.map(Duration::from_millis)
    }
}

/// Answer to the caller of a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// Id of the request that is answered.
    pub request_id: RequestId,
    /// Snapshot that all targets searched for this query.
    pub snapshot: SnapshotId,
    /// Version of the targets that served the query.
    pub version: VersionName,
    /// Shards of the snapshot that the answer covers.
    pub coverage: CoverageReport,
    /// Hits with the highest scores, in descending order.
    pub hits: Vec<SearchHit>,
}
