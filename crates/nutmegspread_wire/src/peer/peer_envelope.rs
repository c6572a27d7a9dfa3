//! Envelope of the control messages between nodes.

use nutmegspread_model::NodeId;
use serde::{Deserialize, Serialize};

/// An encoded control message and its sender. The policy crate defines the messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// Node that sends the message.
    pub from: NodeId,
    /// The message, encoded by [`super::encode_message`].
    pub body: Vec<u8>,
}
