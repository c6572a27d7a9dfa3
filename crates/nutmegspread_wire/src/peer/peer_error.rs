//! Errors of the protocol between nodes.

use thiserror::Error;

/// Why a call to another node failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection could be opened or accepted.
    #[error("peer {address}: {source}")]
    Connection {
        /// Address of the peer or of the own listener.
        address: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The call brought no answer.
    #[error("peer call failed: {0}")]
    Call(#[from] tarpc::client::RpcError),
}
