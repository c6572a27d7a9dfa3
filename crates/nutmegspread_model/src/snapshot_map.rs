//! Assignment of the shards of an index snapshot to targets.

use crate::{ServiceName, SnapshotId, TargetId, VersionName};
use serde::{Deserialize, Serialize};

/// All shards of one index snapshot of a service and version, with the targets that hold them.
///
/// A query uses one map for all its sub-requests. A new division into shards is a new map with a
/// larger snapshot number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotMap {
    /// Service to which the index belongs.
    pub service: ServiceName,
    /// Target version that built the index.
    pub version: VersionName,
    /// Number of the snapshot; a newer snapshot of the same service and version has a larger one.
    pub snapshot: SnapshotId,
    /// Placement of each shard; its index in the list is the [`crate::ShardId`].
    pub shards: Vec<ShardPlacement>,
}

/// The targets that hold replicas of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardPlacement {
    /// Ids of the targets, each of which holds the whole shard.
    pub replicas: Vec<TargetId>,
}

impl SnapshotMap {
    /// Name of the platform object that holds the map: `service.version`.
    pub fn object_name(service: &str, version: &str) -> String {
        format!("{service}.{version}")
    }
}
