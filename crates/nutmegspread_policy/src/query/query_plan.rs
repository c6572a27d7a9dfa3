//! What a query run needs to know at its start.

use nutmegspread_model::{
    AttemptId, RequestId, RouteName, SearchRequest, ServiceName, ShardId, SnapshotMap, VersionName,
};
use std::sync::Arc;
use std::time::Duration;

/// A query with its version chosen and its snapshot pinned.
#[derive(Clone, Debug, Default)]
pub struct QueryPlan {
    /// Id of the caller's request.
    pub request_id: RequestId,
    /// Service asked.
    pub service: ServiceName,
    /// Version chosen by its share.
    pub version: VersionName,
    /// Pinned snapshot.
    pub map: Arc<SnapshotMap>,
    /// Route within the service.
    pub route: RouteName,
    /// Text to evaluate.
    pub query: Arc<str>,
    /// Hits wanted.
    pub k: u32,
    /// Time that the caller waits, from the start; the service's hard deadline bounds it.
    pub deadline: Duration,
}

impl QueryPlan {
    /// What to ask a target for one shard, with the time that is left.
    pub(super) fn search_request(
        &self,
        shard: ShardId,
        attempt: AttemptId,
        remaining: Duration,
    ) -> SearchRequest {
        SearchRequest {
            request_id: self.request_id.clone(),
            attempt,
            snapshot: self.map.snapshot,
            shard,
            route: self.route.clone(),
            query: self.query.clone(),
            k: self.k,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
