//! Type aliases for every identifier.

use std::sync::Arc;
use std::time::Duration;

/// Name of a service, for example `quote-builder`.
pub type ServiceName = Arc<str>;
/// Name of a failure domain.
pub type DomainName = Arc<str>;
/// Name of a region; a failure domain lies in one region.
pub type RegionName = Arc<str>;
/// Identifier of a target: one searcher process with its own address.
pub type TargetId = Arc<str>;
/// Identifier of a node: one nutmegspread process.
pub type NodeId = Arc<str>;
/// Name of a target version, for example `2026-11`.
pub type VersionName = Arc<str>;
/// Name of a route within a service, for example `lookup`.
pub type RouteName = Arc<str>;
/// Identifier of a planned move between two target versions.
pub type RolloutId = Arc<str>;
/// Identifier of a caller's request, unique to one request.
pub type RequestId = Arc<str>;
/// Key that a caller gives to an order, so that a repeat is recognised.
pub type IdempotencyKey = Arc<str>;
/// Number of one attempt, unique within the process that made it.
pub type AttemptId = u64;
/// Position of a shard in a snapshot map, from 0.
pub type ShardId = u32;
/// Number of an index snapshot within a service and version; it only grows.
pub type SnapshotId = u64;
/// Number of an accepted configuration document; it only grows.
pub type Revision = u64;
/// Number of a process start; a restarted process has a larger one.
pub type Incarnation = u64;
/// Version tag that the platform gives to each state of an object.
pub type ResourceVersion = u64;
/// Time since a fixed start that the process chose; it never runs backwards.
pub type MonotonicTime = Duration;
