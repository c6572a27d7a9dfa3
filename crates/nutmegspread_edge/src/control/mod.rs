//! The control thread: reads the store, exchanges heartbeats and store objects with other nodes,
//! and answers readiness, address and metrics requests.

mod control_listener;
mod control_state;
mod control_thread;
mod http_connection;
mod known_objects;
mod member_exchange;
mod member_message;
mod relay_answer;
mod relay_follower;
mod rollout_set;
mod rollout_writer;
mod store_client;
mod store_follower;

pub use control_thread::start_control;
pub use member_message::{MessageError, decode_message, encode_message};
