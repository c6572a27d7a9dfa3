//! Errors of the protocol between nodes.

use thiserror::Error;

/// Why a call to a peer, or the start of the listener for such calls, failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection to a peer could not be opened, or the listener could not be started.
    #[error("peer address {address}: {source}")]
    Connection {
        /// Address of the peer, or of this node's listener.
        address: String,
        /// Error of the operating system, or a timeout.
        source: std::io::Error,
    },
    /// The call got no answer, because the connection broke or the timeout passed.
    #[error("peer call failed: {0}")]
    Call(#[from] tarpc::client::RpcError),
}
