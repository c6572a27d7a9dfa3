//! The traffic thread: requests of callers, sends to targets.

mod caller_listener;
mod job_end;
mod open_request;
mod reply_reader;
mod request_handler;
mod route_state;
mod send_job;
mod target_chooser;
mod target_connection;
mod target_reply;
mod target_state;
mod target_table;
mod traffic_state;

pub use caller_listener::CallerListener;
pub use reply_reader::{ReplyError, ReplyReader};
pub use target_reply::TargetReply;
pub use traffic_state::TrafficState;
