//! A control message between nodes.

use nutmegspread_model::NodeId;
use serde::{Deserialize, Serialize};

/// A control message whose body the policy crate defines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// Node that sends it.
    pub from: NodeId,
    /// The message, as [`super::encode_message`] encodes it.
    pub body: Vec<u8>,
}
