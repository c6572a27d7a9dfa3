//! Errors of the load command.

use crate::platform::StandinError;
use crate::searcher::SearcherError;
use nutmegspread_wire::platform::PlatformError;
use thiserror::Error;

/// Why a load run could not be carried out.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A searcher stand-in did not start.
    #[error("cannot start the searcher stand-ins")]
    Searcher(#[from] SearcherError),
    /// The platform stand-in did not start.
    #[error("cannot start the platform stand-in")]
    Standin(#[from] StandinError),
    /// The platform stand-in refused an object.
    #[error("cannot write to the platform stand-in")]
    Platform(#[from] PlatformError),
    /// The HTTP client could not be set up, or an operator's call failed.
    #[error("cannot call over HTTP")]
    Http(#[from] reqwest::Error),
    /// A node refused the configuration.
    #[error("node at {address} refused the configuration: {answer}")]
    Refused {
        /// Operators' address of the node.
        address: String,
        /// Its answer.
        answer: String,
    },
    /// The nodes did not become ready in time.
    #[error("no complete answer from the node at {address} within {waited_s} s")]
    NotReady {
        /// Callers' address of the node.
        address: String,
        /// Time waited, in seconds.
        waited_s: u64,
    },
    /// A setting is missing or out of range.
    #[error("setting `{field}`: expected {expected}")]
    Setting {
        /// Name of the setting.
        field: &'static str,
        /// What is allowed.
        expected: &'static str,
    },
}
