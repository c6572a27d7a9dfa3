//! What the console shows.

use nutmegspread_model::{ConfigurationDocument, DomainName, NodeId, Revision, ServiceName};
use nutmegspread_policy::rollout::RolloutStatement;
use std::time::Duration;

/// State of the deployment as one node knows it.
#[derive(Clone, Debug, Default)]
pub struct ConsoleState {
    /// Node that answers.
    pub node: NodeId,
    /// Configuration in force on it.
    pub document: ConfigurationDocument,
    /// Time since the platform last confirmed that configuration; `None` if it never did.
    pub confirmed_age: Option<Duration>,
    /// Why the node refuses new work; `None` when it takes work.
    pub refusal: Option<String>,
    /// All nodes that it knows.
    pub nodes: Vec<NodeLine>,
    /// Statements on the rollouts of the configuration.
    pub rollouts: Vec<RolloutStatement>,
    /// Coverage of the answers that this node gave.
    pub coverage: Vec<CoverageLine>,
}

/// One node as the answering one knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeLine {
    /// Id of the node.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Revision that it applies.
    pub revision: Revision,
    /// Whether it lags behind the revision in force.
    pub lags: bool,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// Answers of one service since the node's start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoverageLine {
    /// The service.
    pub service: ServiceName,
    /// Answers that covered every shard.
    pub complete: u64,
    /// Answers that named missing shards.
    pub partial: u64,
    /// Queries that were refused.
    pub refused: u64,
}
