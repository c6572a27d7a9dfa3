//! Type aliases for identifiers and version numbers.

use std::sync::Arc;
use std::time::Duration;

/// Name of a service, for example `quote-builder`.
pub type ServiceName = Arc<str>;
/// Name of a failure domain.
pub type DomainName = Arc<str>;
/// Name of a region; each failure domain is in one region.
pub type RegionName = Arc<str>;
/// Identifier of a target: one searcher process with its own address.
pub type TargetId = Arc<str>;
/// Identifier of a node: one nutmegspread process.
pub type NodeId = Arc<str>;
/// Name of a target version, for example `2026-11`.
pub type VersionName = Arc<str>;
/// Name of a route within a service, for example `lookup`.
pub type RouteName = Arc<str>;
/// Identifier of a rollout, which moves traffic from one target version to another.
pub type RolloutId = Arc<str>;
/// Identifier of a caller's request, different for each request.
pub type RequestId = Arc<str>;
/// Key that a caller assigns to an order, so that a repeated submission is recognised.
pub type IdempotencyKey = Arc<str>;
/// Number of one attempt, unique within the node process that sends it.
pub type AttemptId = u64;
/// Index of a shard in a snapshot map, from 0.
pub type ShardId = u32;
/// Number of an index snapshot of a service and version; a newer snapshot has a larger number.
pub type SnapshotId = u64;
/// Number of an applied configuration document; a newer document has a larger number.
pub type Revision = u64;
/// Number of a process start; a restarted process has a larger number.
pub type Incarnation = u64;
/// Version that the platform assigns to an object on each write.
pub type ResourceVersion = u64;
/// Monotonic time since an origin that the process chose at its start.
pub type MonotonicTime = Duration;
