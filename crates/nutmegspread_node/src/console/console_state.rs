//! The state that the console shows.

use nutmegspread_model::{ConfigurationDocument, DomainName, NodeId, Revision, ServiceName};
use nutmegspread_policy::rollout::RolloutStatement;
use std::time::Duration;

/// State of the deployment as one node knows it.
#[derive(Clone, Debug, Default)]
pub struct ConsoleState {
    /// Node that renders the page.
    pub node: NodeId,
    /// Configuration that this node applies.
    pub document: ConfigurationDocument,
    /// Time since the platform last confirmed that configuration; `None` if it has not confirmed it yet.
    pub confirmed_age: Option<Duration>,
    /// Why the node refuses new work; `None` if it accepts work.
    pub refusal: Option<String>,
    /// All nodes that this node knows.
    pub nodes: Vec<NodeLine>,
    /// State of each rollout of the configuration.
    pub rollouts: Vec<RolloutStatement>,
    /// Coverage of the answers of this node, by service.
    pub coverage: Vec<CoverageLine>,
}

/// One node, as the node that renders the page knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeLine {
    /// Id of the node.
    pub node: NodeId,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Revision that the node applies.
    pub revision: Revision,
    /// Whether the node applies an older revision than the one in force.
    pub lags: bool,
    /// Whether the node is stopping.
    pub leaving: bool,
}

/// Numbers of answers and refusals for one service since the node started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoverageLine {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of answers that covered every shard.
    pub complete: u64,
    /// Number of answers that lacked shards and named them.
    pub partial: u64,
    /// Number of refused queries.
    pub refused: u64,
}
