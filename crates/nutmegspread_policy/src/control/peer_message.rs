//! Control messages between nodes.

use super::WatchedKind;
use crate::configuration::DocumentReply;
use crate::fleet::GossipMessage;
use crate::rollout::RolloutGossip;
use crate::target::WarmthMark;
use nutmegspread_model::{Revision, TargetId};
use serde::{Deserialize, Serialize};

/// One control message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat.
    Heartbeat(Box<GossipMessage>),
    /// A request for what changed in the configuration.
    WantConfiguration {
        /// Revision that the sender holds; 0 asks for the whole document.
        have: Revision,
        /// Address to which to send it.
        reply_to: String,
    },
    /// Changes of the configuration, or a whole document that the platform has accepted.
    Configuration(#[serde(with = "super::reply_text")] DocumentReply),
    /// Counts, brakes and records of rollouts.
    Rollouts(Box<RolloutGossip>),
    /// The platform's objects of a kind have changed.
    Changed(WatchedKind),
    /// How warm targets are.
    Warmth {
        /// Marks by target.
        marks: Vec<(TargetId, WarmthMark)>,
    },
}
