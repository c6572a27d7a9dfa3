//! A search request from a node to a target, and the target's reply.

use super::TargetState;
use crate::{AttemptId, Incarnation, RequestId, RouteName, ShardId, SnapshotId, VersionName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A document that matches a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchHit {
    /// Id of the document.
    pub id: Arc<str>,
    /// Relevance of the document; a higher score is better.
    pub score: f64,
}

/// Body of `POST /v1/search` at a target. The ids, the snapshot and the remaining time are sent in
/// headers as well.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchRequest {
    /// Id of the caller's request.
    pub request_id: RequestId,
    /// Number of the attempt, unique within the node process.
    pub attempt: AttemptId,
    /// Snapshot to search.
    pub snapshot: SnapshotId,
    /// Shard to search.
    pub shard: ShardId,
    /// Route within the service.
    pub route: RouteName,
    /// Text of the query.
    pub query: Arc<str>,
    /// Number of hits to return.
    pub k: u32,
    /// Time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// Reply of a target to a [`SearchRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchReply {
    /// Id of the caller's request, as received by the target.
    pub request_id: RequestId,
    /// Number of the attempt, as received by the target.
    pub attempt: AttemptId,
    /// Snapshot that the target searched.
    pub snapshot: SnapshotId,
    /// Shard that the target searched.
    pub shard: ShardId,
    /// Version that the target runs.
    pub version: VersionName,
    /// Number of the target's process start.
    pub incarnation: Incarnation,
    /// State that the target reports.
    pub state: TargetState,
    /// Whether the target searched the whole shard.
    pub complete: bool,
    /// Hits with the highest scores in the shard, in descending order.
    pub hits: Vec<SearchHit>,
}
