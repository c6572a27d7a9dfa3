//! Errors of the searcher stand-in.

use thiserror::Error;

/// Why a searcher stand-in did not start.
#[derive(Debug, Error)]
pub enum SearcherError {
    /// The address is taken or not an address.
    #[error("searcher stand-in cannot listen on {address}")]
    Listen {
        /// Address asked for.
        address: String,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
}
