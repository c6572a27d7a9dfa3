//! Node that runs on the users' platform: receives requests of callers and sends them to targets.
//!
//! The control thread reads the store, exchanges heartbeats with the other nodes and gives callers
//! the addresses of nodes. The traffic thread serves requests. The control thread publishes a
//! [`FleetView`], and the traffic thread uses the newest one for each request.
//!
//! ```no_run
//! use nutmegspread_edge::{EdgeProcess, NodeSettings};
//!
//! let path = std::path::Path::new("node.jsonc");
//! EdgeProcess::new(path, NodeSettings::load(path)?).run()?;
//! # Ok::<(), nutmegspread_edge::EdgeError>(())
//! ```

pub mod control;
mod edge_error;
mod edge_process;
mod event_log;
mod fleet_view;
mod node_metrics;
mod node_settings;
mod rollout_ledger;
mod shared_state;
mod store_confirmation;
mod thread_runtime;
mod traffic;
mod usage_counter;
mod usage_settings;

pub use control::{MessageError, decode_message, decode_table, encode_message, encode_table};
pub use edge_error::EdgeError;
pub use edge_process::EdgeProcess;
pub use event_log::start_log;
pub use fleet_view::{FleetView, ServiceRollout};
pub use node_metrics::NodeMetrics;
pub use node_settings::{ListenSettings, NodeSettings};
pub use rollout_ledger::RolloutLedger;
pub use shared_state::SharedState;
pub use store_confirmation::StoreConfirmation;
pub use traffic::{ReplyError, ReplyReader, ReplyWishes, TargetReply};
pub use usage_counter::UsageCounter;
pub use usage_settings::UsageSettings;
