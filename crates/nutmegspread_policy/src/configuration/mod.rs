//! Which configuration document a node applies, and when the platform last confirmed it.
//!
//! A node keeps the highest revision ever received from the platform or a peer, so that a stale
//! answer never returns it to an older one. Few nodes watch the platform; the others learn of
//! revisions and confirmations from heartbeats and fetch the changes from their peers.

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
