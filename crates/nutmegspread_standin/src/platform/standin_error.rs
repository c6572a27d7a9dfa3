//! Errors of the platform stand-in.

use std::io;
use thiserror::Error;

/// Why the stand-in could not start or stop.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The listening address could not be taken.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address asked for.
        address: String,
        /// What the system said.
        source: io::Error,
    },
    /// The server task failed.
    #[error("the server failed: {0}")]
    Serve(io::Error),
}
