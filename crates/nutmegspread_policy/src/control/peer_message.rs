//! Control messages between nodes.

use super::WatchedKind;
use crate::configuration::DocumentReply;
use crate::fleet::GossipMessage;
use crate::rollout::RolloutGossip;
use crate::target::WarmthMark;
use nutmegspread_model::{Revision, TargetId};
use serde::{Deserialize, Serialize};

/// A control message from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Periodic report of the sender about itself and the peers that it knows.
    Heartbeat(Box<GossipMessage>),
    /// Request for the changes of the configuration since a revision.
    WantConfiguration {
        /// Revision that the sender holds; 0 requests the whole document.
        have: Revision,
        /// IP address and port to which to send the reply.
        reply_to: String,
    },
    /// Reply to [`PeerMessage::WantConfiguration`], with a configuration that the platform has
    /// accepted.
    Configuration(#[serde(with = "super::reply_text")] DocumentReply),
    /// Query counts, brakes and records of rollouts; a brake marks a version as bad, which stops
    /// its traffic on every node.
    Rollouts(Box<RolloutGossip>),
    /// The sender's watch reported a change of an object of this kind, which the receiver has to
    /// read from the platform.
    Changed(WatchedKind),
    /// How warm targets are, as measured by their owners.
    Warmth {
        /// Warmth marks by target id.
        marks: Vec<(TargetId, WarmthMark)>,
    },
}
