//! One target on the node that owns a share of it: slots, connections, cold start.

mod target_message;

pub use target_message::{
    ConnectionId, TargetAction, TargetInput, TargetOutput, TicketId, TicketResult,
};
