//! Errors of the node.

use nutmegspread_platform::DecodeError;
use nutmegspread_tier::StatedEra;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// Errors of starting or reloading a node, and of its calls to the store and to peers.
#[derive(Debug, Error)]
pub enum EdgeError {
    /// The settings file cannot be read.
    #[error("settings file {path:?} cannot be read: {source}")]
    SettingsFile {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings file has an invalid line or field.
    #[error("settings file {path:?}: {reason}")]
    Settings {
        /// Path of the settings file.
        path: PathBuf,
        /// Position and cause of the error.
        reason: String,
    },
    /// The node cannot listen on an address.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// What the listener is for.
        purpose: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A thread, runtime or signal handler of the process cannot be started.
    #[error("cannot start {what}: {source}")]
    Start {
        /// What could not be started.
        what: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The logger cannot be initialised.
    #[error("cannot initialise the logger: {0}")]
    Log(String),
    /// The store or a peer cannot be reached, closed the connection, or did not answer in time.
    #[error("{address}: {reason}")]
    Connection {
        /// Address of the store or the peer.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// A call was not sent because the permission for it had ended.
    #[error("the call of {path} was not sent because the permission for it had ended")]
    NotPermitted {
        /// Path of the call.
        path: String,
    },
    /// The store or a peer answered with a status other than a success.
    #[error("request for {path} failed with status {status}")]
    StoreStatus {
        /// HTTP status code.
        status: u16,
        /// Path of the request.
        path: String,
    },
    /// The store no longer holds the changes after the revision from which a watch should continue.
    #[error("the store no longer holds the changes requested by {path}")]
    HistoryGone {
        /// Path of the request.
        path: String,
        /// What the answer states about the era of the store.
        era: StatedEra,
    },
    /// The store came back from an older copy between two pages of a list.
    #[error("the era of the store changed between two pages of the list of {kind}")]
    EraChanged {
        /// Kind of the objects.
        kind: &'static str,
    },
    /// An answer of the store is of an earlier era than the latest one.
    #[error("the answer to {path} is of an earlier era of the store than {era}")]
    PastEra {
        /// Path of the request.
        path: String,
        /// The latest era that is known.
        era: u64,
    },
    /// An answer of the store cannot be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

impl EdgeError {
    /// Error of a call to `path` whose answer did not begin, or stopped, for `timeout`.
    pub fn no_response(address: SocketAddr, path: &str, timeout: Duration) -> Self {
        Self::Connection {
            address,
            reason: format!("no response to {path} within {timeout:?}"),
        }
    }
}
