//! Limits on what callers can make a node hold: bodies of requests, and connections.

mod body_progress;
#[allow(
    clippy::module_inception,
    reason = "the module holds the type of this name"
)]
mod caller_memory;
mod connection_room;

pub use body_progress::{BodyProgress, ProgressSettings};
pub use caller_memory::{BodyKey, CallerMemory, MemoryVerdict};
pub use connection_room::{ConnectionPhase, ConnectionRoom, RoomKey, RoomVerdict};
