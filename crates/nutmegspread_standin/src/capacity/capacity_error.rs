//! Errors of the capacity measurements.

use std::path::PathBuf;
use thiserror::Error;

/// Why capacity could not be measured or written down.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A message could not be encoded or decoded.
    #[error("cannot encode or decode {message}")]
    Encoding {
        /// What was encoded.
        message: &'static str,
        /// Error of the codec.
        #[source]
        source: std::io::Error,
    },
    /// A plot or table could not be written.
    #[error("cannot write {path}")]
    Write {
        /// File.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The plotting library failed.
    #[error("cannot draw {path}: {reason}")]
    Plot {
        /// File.
        path: PathBuf,
        /// Error of the library.
        reason: String,
    },
}
