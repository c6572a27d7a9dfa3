//! Control messages between nodes.

use crate::fleet::GossipMessage;
use crate::target::WarmthMark;
use nutmegspread_model::{ConfigurationDocument, Revision, TargetId};
use serde::{Deserialize, Serialize};

/// One control message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat.
    Heartbeat(Box<GossipMessage>),
    /// A request for the document of a revision or a later one.
    WantConfiguration {
        /// Least revision wanted.
        revision: Revision,
        /// Address to which to send it.
        reply_to: String,
    },
    /// A configuration document that the platform has accepted.
    Configuration(#[serde(with = "super::document_text")] Box<ConfigurationDocument>),
    /// How warm targets are.
    Warmth {
        /// Marks by target.
        marks: Vec<(TargetId, WarmthMark)>,
    },
}
