//! The control thread: store, other nodes, addresses for callers.

mod control_state;
mod control_thread;
mod member_link;
mod question_listener;
mod store_client;
mod store_follower;

pub use control_state::ControlState;
pub use control_thread::{ControlThread, start_control};
