//! Errors of the capacity command.

use std::path::PathBuf;
use thiserror::Error;

/// Why a capacity measurement failed, or why its plots could not be written.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A message could not be encoded or decoded, or the process's memory use could not be read.
    #[error("cannot encode or decode {message}")]
    Encoding {
        /// Name of the message or file.
        message: &'static str,
        /// Error of the codec or the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The folder for the plots could not be created.
    #[error("cannot write {path}")]
    Write {
        /// Path of the folder.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The plotting library could not draw a plot or write its file.
    #[error("cannot draw {path}: {reason}")]
    Plot {
        /// Path of the plot's file.
        path: PathBuf,
        /// Text of the plotting library's error.
        reason: String,
    },
}
