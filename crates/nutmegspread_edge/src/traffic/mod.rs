//! The traffic thread: serves requests of callers by attempts to targets.

mod access_check;
mod attempt_result;
mod attempt_sender;
mod body_framing;
mod caller_answer;
mod caller_listener;
mod caller_refusal;
mod connection_control;
mod connection_end;
mod connection_pool;
mod connection_task;
mod held_bytes;
mod line_ends;
mod open_request;
mod reply_reader;
mod reply_wishes;
mod request_admission;
mod request_handler;
mod request_head;
mod request_usage;
mod result_recorder;
mod route_state;
mod status_line;
mod target_attempt;
mod target_chooser;
mod target_connection;
mod target_reply;
mod target_state;
mod target_table;
mod traffic_state;
mod unsent_bytes;

pub use caller_listener::CallerListener;
pub use reply_reader::{ReplyError, ReplyReader};
pub use reply_wishes::ReplyWishes;
pub use target_reply::TargetReply;
pub use traffic_state::TrafficState;
