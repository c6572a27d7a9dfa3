//! Names of the headers between nodes and targets.

/// Id of the caller's request; the target echoes it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Number of the attempt; the target echoes it.
pub const ATTEMPT_ID_HEADER: &str = "x-attempt-id";
/// Snapshot to read; the target echoes the one that it read.
pub const SNAPSHOT_HEADER: &str = "x-snapshot";
/// Time left to the caller, in milliseconds.
pub const REMAINING_MS_HEADER: &str = "x-remaining-ms";
/// Version that the target runs.
pub const TARGET_VERSION_HEADER: &str = "x-target-version";
/// Number of the target's process start.
pub const INCARNATION_HEADER: &str = "x-incarnation";
/// What the target says of itself.
pub const TARGET_STATE_HEADER: &str = "x-target-state";
/// Key of an order.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
