//! Stand-in for a searcher: a small HTTP server with limits, a cold start and simulated faults.
//!
//! It implements the protocol of targets (`POST /v1/search`, `POST /v1/orders`) and records the
//! requests, so that tests and the load command can check what the nodes sent. Faults and records
//! can be accessed from the same process and over HTTP (`POST /standin/faults`,
//! `GET /standin/counters`, `GET /standin/requests`).

mod connection_limiter;
mod fault_settings;
mod order_handler;
mod random_draws;
mod reply_body;
mod request_handler;
mod search_handler;
mod searcher_counters;
mod searcher_error;
mod searcher_faults;
mod searcher_settings;
mod searcher_standin;
mod searcher_state;
mod shard_hits;
mod work_ledger;

pub use fault_settings::{BodyFault, FaultChange, FaultSettings};
pub use searcher_counters::SearcherCounters;
pub use searcher_error::SearcherError;
pub use searcher_faults::SearcherFaults;
pub use searcher_settings::SearcherSettings;
pub use searcher_standin::SearcherStandin;
pub use shard_hits::{merged_hits, shard_hits};
