//! Which configuration is in force and when it was last confirmed.
//!
//! A node keeps the highest revision that platform or peers ever showed, so that a stale answer
//! never takes it back. Few nodes watch the platform; the others hear of revisions and
//! confirmations through heartbeats and fetch what changed from each other.

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
