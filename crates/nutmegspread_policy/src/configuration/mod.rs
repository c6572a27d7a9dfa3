//! Which configuration document a node applies, and when the platform last confirmed it.
//!
//! Each document has a revision, which increases with every change. A node keeps the highest
//! revision ever received from the platform or a peer, so that a stale answer never makes it apply
//! an older one. The platform confirms a revision by answering that it still stores it. Few nodes
//! watch the platform; the others receive revisions and the times of confirmations in heartbeats,
//! and fetch newer documents from their peers.

mod call_backoff;
mod configuration_message;
mod configuration_policy;
mod configuration_settings;
mod document_history;

use call_backoff::CallBackoff;
pub use configuration_message::{
    ConfigurationAction, ConfigurationInput, ConfigurationOutput, WatchCandidate,
};
pub use configuration_policy::ConfigurationPolicy;
pub use configuration_settings::ConfigurationSettings;
pub use document_history::{DocumentHistory, DocumentReply};
