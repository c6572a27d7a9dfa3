//! Processing of callers' requests: listeners, queries, sub-requests and connections to targets.

mod answer_table;
mod caller_body;
mod caller_listener;
mod caller_server;
mod order_check;
mod order_listener;
mod owned_targets;
mod peer_pool;
mod pending_work;
mod query_check;
mod query_report;
mod query_runner;
mod sub_router;
mod target_runner;
mod traffic_state;

pub use caller_listener::caller_router;
pub use caller_server::CallerServer;
pub use owned_targets::OwnedTargets;
pub use peer_pool::PeerPool;
pub use sub_router::run_local_sub_search;
pub use target_runner::WarmthReport;
pub use traffic_state::{TrafficSettings, TrafficState};
