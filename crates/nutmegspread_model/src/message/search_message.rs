//! A node's request to a target and the target's reply.

use super::TargetState;
use crate::{AttemptId, Incarnation, RequestId, RouteName, ShardId, SnapshotId, VersionName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One hit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchHit {
    /// Document that matched.
    pub id: Arc<str>,
    /// Relevance; higher is better.
    pub score: f64,
}

/// Body of `POST /v1/search` at a target. Ids, snapshot and remaining time go in headers too.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchRequest {
    /// Request for which the node asks.
    pub request_id: RequestId,
    /// Attempt, unique within the node.
    pub attempt: AttemptId,
    /// Snapshot to read.
    pub snapshot: SnapshotId,
    /// Shard to search.
    pub shard: ShardId,
    /// Route within the service.
    pub route: RouteName,
    /// Text to evaluate.
    pub query: Arc<str>,
    /// Hits wanted.
    pub k: u32,
    /// Time left to the caller, in milliseconds.
    pub remaining_ms: u64,
}

/// Reply of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchReply {
    /// Request that the target worked on.
    pub request_id: RequestId,
    /// Attempt that the target worked on.
    pub attempt: AttemptId,
    /// Snapshot that the target read.
    pub snapshot: SnapshotId,
    /// Shard that the target searched.
    pub shard: ShardId,
    /// Version that the target runs.
    pub version: VersionName,
    /// Number of the target's process start.
    pub incarnation: Incarnation,
    /// What the target says of itself.
    pub state: TargetState,
    /// Whether the whole shard was searched.
    pub complete: bool,
    /// Best hits of the shard, best first.
    pub hits: Vec<SearchHit>,
}
