//! The control thread: store, other nodes, addresses for callers.

mod control_state;
mod control_thread;
mod http_connection;
mod known_objects;
mod member_link;
mod member_message;
mod question_listener;
mod relay_answer;
mod relay_follower;
mod rollout_set;
mod rollout_writer;
mod store_client;
mod store_follower;

pub use control_thread::start_control;
pub use member_message::{MessageError, decode_message, encode_message};
