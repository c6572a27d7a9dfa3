//! Errors of the commands.

use std::path::PathBuf;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file is not acceptable; one line an error.
    #[error("{}", .0.join("\n"))]
    Rejected(Vec<String>),
    /// The node could not run.
    #[error(transparent)]
    Node(#[from] nutmegspread_node::NodeError),
    /// The node on the platform could not run.
    #[error(transparent)]
    Edge(#[from] nutmegspread_edge::EdgeError),
    /// A runtime or signal handler could not start.
    #[error("cannot start: {0}")]
    Start(#[from] std::io::Error),
    /// A call over HTTP failed.
    #[error("call failed: {0}")]
    Call(#[from] reqwest::Error),
    /// A node refused a call.
    #[error("the node answered {status}: {body}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// A stand-in could not run.
    #[error("stand-in: {0}")]
    Standin(String),
    /// Nodes did not apply a revision in time.
    #[error("revision {revision} is not in force on: {nodes}")]
    Lagging {
        /// The revision.
        revision: u64,
        /// Nodes that lag, separated by commas.
        nodes: String,
    },
    /// A load run could not be carried out.
    #[error("load: {0}")]
    Load(#[from] nutmegspread_standin::load::LoadError),
    /// Answers or records contradict each other; the report names them.
    #[error("the load run found contradictions")]
    LoadFaults,
    /// Capacity could not be measured.
    #[error("capacity: {0}")]
    Capacity(#[from] nutmegspread_standin::capacity::CapacityError),
    /// Something that the demo claims did not hold.
    #[error("the demo failed: {0}")]
    DemoFailed(String),
    /// A planned stop reached its limit with requests in flight.
    #[error("the stop limit was reached with requests in flight")]
    StopLimit,
}
