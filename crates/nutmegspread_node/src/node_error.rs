//! Errors that end a node process.

use nutmegspread_wire::peer::PeerError;
use thiserror::Error;

/// Why a node could not start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A listener could not be opened.
    #[error("cannot listen on {field} {address:?}: {source}")]
    Listen {
        /// Field of the settings.
        field: &'static str,
        /// Address found there.
        address: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The listener for other nodes could not be opened.
    #[error("cannot listen on peer_listen: {0}")]
    PeerListen(#[from] PeerError),
    /// A thread or runtime could not be started.
    #[error("cannot start a runtime: {0}")]
    Runtime(#[from] std::io::Error),
    /// The metrics address is not usable.
    #[error("cannot send metrics to {address:?}: {reason}")]
    Metrics {
        /// Address found in the settings.
        address: String,
        /// Text of the cause.
        reason: String,
    },
    /// The platform client could not be built.
    #[error("cannot set up the platform client: {0}")]
    Platform(String),
    /// The logger could not be set up.
    #[error("cannot start logging: {0}")]
    Logging(String),
}
