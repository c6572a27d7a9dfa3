//! One target on a node that owns a share of the target's limits: the queue of requests, the slots
//! and connections that the node may use, and the target's warm-up after a cold start.

mod connection_pool;
mod owned_target;
mod running_work;
mod silence_watch;
mod target_message;
mod ticket_queue;
mod warmth_mark;
mod warmth_ramp;

pub use owned_target::OwnedTarget;
pub use target_message::{
    ConnectionId, TargetAction, TargetInput, TargetOutput, TicketId, TicketResult,
};
pub use warmth_mark::WarmthMark;
