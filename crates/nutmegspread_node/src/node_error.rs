//! Errors that prevent a node from starting.

use nutmegspread_wire::peer::PeerError;
use thiserror::Error;

/// Error that prevents a node from starting.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A listener could not be opened.
    #[error("cannot listen on {field} {address:?}: {source}")]
    Listen {
        /// Field of the settings that contains the address.
        field: &'static str,
        /// The configured address.
        address: String,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// The listener for other nodes could not be opened.
    #[error("cannot listen on peer_listen: {0}")]
    PeerListen(#[from] PeerError),
    /// A thread or runtime could not be started.
    #[error("cannot start a runtime: {0}")]
    Runtime(#[from] std::io::Error),
    /// The metrics can't be sent to the configured address.
    #[error("cannot send metrics to {address:?}: {reason}")]
    Metrics {
        /// The configured address.
        address: String,
        /// Description of the cause.
        reason: String,
    },
    /// The platform client could not be built.
    #[error("cannot set up the platform client: {0}")]
    Platform(String),
    /// The logger could not be set up.
    #[error("cannot start logging: {0}")]
    Logging(String),
}
