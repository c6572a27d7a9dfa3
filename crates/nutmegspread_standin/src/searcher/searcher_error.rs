//! Errors at the start of a searcher stand-in.

use thiserror::Error;

/// Why a searcher stand-in could not start.
#[derive(Debug, Error)]
pub enum SearcherError {
    /// The stand-in cannot listen on an address of its settings.
    #[error("searcher stand-in cannot listen on {address}")]
    Listen {
        /// Address of the settings.
        address: String,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
}
