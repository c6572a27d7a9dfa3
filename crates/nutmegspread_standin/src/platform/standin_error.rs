//! Errors at the start of the platform stand-in.

use std::io;
use thiserror::Error;

/// Why the platform stand-in could not start.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The stand-in cannot listen on the address of its settings.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address of the settings.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The address of the open listener cannot be read.
    #[error("cannot read the address of the platform stand-in's listener: {0}")]
    LocalAddress(io::Error),
}
