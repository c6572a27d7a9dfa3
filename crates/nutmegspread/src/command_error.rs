//! The error type of all commands.

use std::path::PathBuf;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A settings file, configuration document or token file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the read call.
        source: std::io::Error,
    },
    /// A file or a flag is invalid; each entry is one error, printed on a line of its own.
    #[error("{}", .0.join("\n"))]
    Rejected(Vec<String>),
    /// `serve` could not start or run its node.
    #[error(transparent)]
    Node(#[from] nutmegspread_node::NodeError),
    /// `edge` could not start or run its node on the users' platform.
    #[error(transparent)]
    Edge(#[from] nutmegspread_edge::EdgeError),
    /// An async runtime, a signal handler or a blocking task could not start.
    #[error("cannot start the command: {0}")]
    StartFailed(#[from] std::io::Error),
    /// An HTTP request to a node failed without a usable answer.
    #[error("HTTP request to a node failed: {0}")]
    HttpFailed(#[from] reqwest::Error),
    /// A node answered an HTTP request with an error status.
    #[error("the node answered {status}: {body}")]
    Refused {
        /// HTTP status code of the answer.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// A stand-in could not start, or its client failed.
    #[error("stand-in failed: {0}")]
    Standin(String),
    /// Some nodes did not apply a revision within the time limit.
    #[error("nodes that have not applied revision {revision} in time: {nodes}")]
    Lagging {
        /// Revision that was waited for.
        revision: u64,
        /// Names of the nodes that have not applied the revision, separated by commas.
        nodes: String,
    },
    /// A load run could not be carried out.
    #[error("load run failed: {0}")]
    Load(#[from] nutmegspread_standin::load::LoadError),
    /// The load run found answers or records that contradict each other; its report lists them.
    #[error("the load run found contradictions, see its report")]
    LoadContradictions,
    /// The capacity measurement failed.
    #[error("capacity measurement failed: {0}")]
    Capacity(#[from] nutmegspread_standin::capacity::CapacityError),
    /// A check of the demo failed; the text says what should have been true.
    #[error("a check of the demo failed: {0}")]
    DemoFailed(String),
    /// A planned stop reached its time limit and cut requests in flight.
    #[error("the node reached its stop limit and cut requests in flight")]
    StopLimitReached,
}
