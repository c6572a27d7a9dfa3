//! Errors of the node.

use nutmegspread_platform::DecodeError;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// What can go wrong in a node.
#[derive(Debug, Error)]
pub enum EdgeError {
    /// The settings file cannot be opened.
    #[error("settings file {path:?} cannot be read: {source}")]
    SettingsFile {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The settings file has a wrong line or field.
    #[error("settings file {path:?}: {reason}")]
    Settings {
        /// The file.
        path: PathBuf,
        /// The place and what is wrong with it.
        reason: String,
    },
    /// An address cannot be listened on.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Who would connect there.
        purpose: &'static str,
        /// What the system says.
        source: std::io::Error,
    },
    /// A part of the process cannot be started.
    #[error("cannot start {what}: {source}")]
    Start {
        /// The part.
        what: &'static str,
        /// What the system says.
        source: std::io::Error,
    },
    /// The log cannot be set up.
    #[error("cannot start the log: {0}")]
    Log(String),
    /// The other end cannot be reached or broke the connection off.
    #[error("{address}: {reason}")]
    Connection {
        /// The other end.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// The answer was a failure.
    #[error("the answer to {path} was {status}")]
    StoreStatus {
        /// Status code.
        status: u16,
        /// Path that was asked for.
        path: String,
    },
    /// The store no longer holds the history from which a watch would continue.
    #[error("store no longer holds the changes that {path} asks for")]
    HistoryGone {
        /// Path that was asked for.
        path: String,
    },
    /// An answer of the store cannot be read.
    #[error(transparent)]
    Decode(#[from] DecodeError),
}
