//! The control thread: reads the store, exchanges heartbeats and store objects with other nodes,
//! and answers readiness, address and metrics requests.

mod call_answer;
mod call_connection;
mod call_guard;
mod configuration_intake;
mod configuration_state;
mod confirmation_task;
mod control_clock;
mod control_listener;
mod control_network;
mod control_node;
mod control_state;
mod control_thread;
mod evidence_extension;
mod heartbeat_state;
mod http_connection;
mod known_objects;
mod member_exchange;
mod member_message;
mod read_state;
mod relay_answer;
mod relay_follower;
mod relay_state;
mod rollout_set;
mod rollout_writer;
mod server_call;
mod store_client;
mod store_eras;
mod store_follower;
mod store_list;
mod store_read;
mod table_follower;
mod unreadable_log;
mod usage_control;
mod usage_exchange;
mod usage_message;
mod usage_reporter;
mod usage_standing;

pub use call_answer::CallAnswer;
pub use call_connection::{CallConnection, CallExchange, CallFuture};
pub use call_guard::CallGuard;
pub use control_network::{ControlNetwork, ReceiveFuture, SendFuture};
pub use control_node::{ControlNode, ControlTask};
pub use control_state::ControlState;
pub use control_thread::start_control;
pub use member_message::{
    MessageError, decode_message, decode_table, encode_message, encode_table,
};
pub use server_call::ServerCall;
pub use store_client::StoreClient;
pub use store_list::{StoreChanges, StoreList};
pub use store_read::StoreRead;
pub use usage_control::UsageControl;
pub use usage_message::{decode_usage, decode_usage_answer, encode_usage, encode_usage_answer};
