//! The parameters of a query run.

use nutmegspread_model::{
    AttemptId, RequestId, RouteName, SearchRequest, ServiceName, ShardId, SnapshotMap, VersionName,
};
use std::sync::Arc;
use std::time::Duration;

/// A caller's query, with the version and snapshot that serve it.
#[derive(Clone, Debug, Default)]
pub struct QueryPlan {
    /// Id of the caller's request.
    pub request_id: RequestId,
    /// Service that the query is for.
    pub service: ServiceName,
    /// Version that serves the query, as drawn by [`choose_version`](super::choose_version).
    pub version: VersionName,
    /// Map of the snapshot from which every shard has to be answered; it lists the replicas of each
    /// shard.
    pub map: Arc<SnapshotMap>,
    /// Route within the service.
    pub route: RouteName,
    /// Query text.
    pub query: Arc<str>,
    /// Maximum number of hits to return.
    pub k: u32,
    /// The caller's deadline, counted from the start of the run; the service's hard deadline
    /// applies if it is shorter.
    pub deadline: Duration,
}

impl QueryPlan {
    /// The sub-request for one shard; `remaining` is the time left to answer it.
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
