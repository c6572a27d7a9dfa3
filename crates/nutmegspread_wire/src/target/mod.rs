//! The protocol between nodes and targets: HTTP/1.1 with JSON bodies, one request at a time on each
//! connection.

mod header_name;
mod order_call;
mod target_connection;
mod target_error;

pub use header_name::{
    ATTEMPT_ID_HEADER, IDEMPOTENCY_KEY_HEADER, INCARNATION_HEADER, REMAINING_MS_HEADER,
    REQUEST_ID_HEADER, SNAPSHOT_HEADER, TARGET_STATE_HEADER, TARGET_VERSION_HEADER,
};
pub use order_call::OrderCall;
pub use target_connection::{ConnectionBounds, TargetConnection};
pub use target_error::TargetError;
