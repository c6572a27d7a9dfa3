//! Errors of the load command.

use crate::platform::StandinError;
use crate::searcher::SearcherError;
use nutmegspread_wire::platform::PlatformError;
use thiserror::Error;

/// Reason why a load run could not be carried out.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A searcher stand-in could not start.
    #[error("cannot start the searcher stand-ins")]
    Searcher(#[from] SearcherError),
    /// The platform stand-in could not start.
    #[error("cannot start the platform stand-in")]
    Standin(#[from] StandinError),
    /// A call to the platform stand-in failed, or its client could not be set up.
    #[error("cannot read or write objects of the platform stand-in")]
    Platform(#[from] PlatformError),
    /// An HTTP client could not be set up, or an operators' call to a node failed.
    #[error("cannot set up an HTTP client or call the operators' interface of a node")]
    Http(#[from] reqwest::Error),
    /// A node refused the configuration.
    #[error("node at {address} refused the configuration: {answer}")]
    Refused {
        /// Address of the node's operators' interface.
        address: String,
        /// Status and body of the node's answer.
        answer: String,
    },
    /// A node gave no complete answer in time.
    #[error("no complete answer from the node at {address} within {waited_s} s")]
    NotReady {
        /// Address at which the node serves callers.
        address: String,
        /// Time waited, in seconds.
        waited_s: u64,
    },
    /// A setting is missing or out of range.
    #[error("setting `{field}`: expected {expected}")]
    Setting {
        /// Name of the setting.
        field: &'static str,
        /// Allowed values.
        expected: &'static str,
    },
}
