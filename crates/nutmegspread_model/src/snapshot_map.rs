//! Which targets hold which shard of one index snapshot.

use crate::{ServiceName, SnapshotId, TargetId, VersionName};
use serde::{Deserialize, Serialize};

/// All shards of one snapshot of one version of a service.
///
/// Every answer comes from one such map. A repartition is a new map with a higher snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotMap {
    /// Service whose index this is.
    pub service: ServiceName,
    /// Target version that built the index.
    pub version: VersionName,
    /// Number of the snapshot; it only grows within a service and version.
    pub snapshot: SnapshotId,
    /// One entry a shard; the position is the [`crate::ShardId`].
    pub shards: Vec<ShardPlacement>,
}

/// The replicas of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardPlacement {
    /// Targets that hold the whole shard.
    pub replicas: Vec<TargetId>,
}

impl SnapshotMap {
    /// Name of the platform object that holds the map: `service.version`.
    pub fn object_name(service: &str, version: &str) -> String {
        format!("{service}.{version}")
    }
}
