//! The protocol between nodes: tarpc calls, encoded with bincode, over TCP.

mod peer_client;
mod peer_codec;
mod peer_envelope;
mod peer_error;
mod peer_server;
mod peer_service;
mod sub_order;

pub use peer_client::PeerClient;
pub use peer_codec::{decode_message, encode_message};
pub use peer_envelope::PeerEnvelope;
pub use peer_error::PeerError;
pub use peer_server::{PeerHandlers, PeerServer};
pub use peer_service::{PeerService, PeerServiceClient};
pub use sub_order::{SubOrder, SubOrderEnd};
