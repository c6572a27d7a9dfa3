//! Names of the HTTP headers between nodes and targets.

/// Id of the caller's request; the target copies it into the answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Number of the attempt; the target copies it into the answer.
pub const ATTEMPT_ID_HEADER: &str = "x-attempt-id";
/// Snapshot that the target should search; the answer names the snapshot that was searched.
pub const SNAPSHOT_HEADER: &str = "x-snapshot";
/// Time until the caller's deadline, in milliseconds.
pub const REMAINING_MS_HEADER: &str = "x-remaining-ms";
/// Version of the target's software.
pub const TARGET_VERSION_HEADER: &str = "x-target-version";
/// Number that identifies the start of the target's process.
pub const INCARNATION_HEADER: &str = "x-incarnation";
/// State that the target reports about itself, such as `shed` when it rejects a request.
pub const TARGET_STATE_HEADER: &str = "x-target-state";
/// Idempotency key of an order.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
