//! The status that a node reports to operators.

use crate::fleet::NodeView;
use crate::rollout::RolloutStatement;
use indexmap::IndexMap;
use nutmegspread_model::{DomainName, NodeId, RefusalReason, Revision};
use serde::Serialize;

/// Configuration, nodes and rollouts, as this node knows them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StatusReport {
    /// Id of the node that reports.
    pub node: NodeId,
    /// Configuration revision that the node applies.
    pub revision: Revision,
    /// Time since the platform last confirmed that it stores `revision`, in milliseconds; `None` if
    /// it has not.
    pub confirmed_age_ms: Option<u64>,
    /// Why the node refuses new work; `None` while it accepts work.
    pub refuse_work: Option<RefusalReason>,
    /// Number of times since its start that the node gave up its shares of targets, for example
    /// because its process was paused. It may use them again some seconds later.
    pub share_losses: u64,
    /// Status of each live node of the roster, this one included, by its id.
    pub nodes: IndexMap<NodeId, NodeStatus>,
    /// Nodes of the roster that are not known to apply `revision` or a newer one.
    pub lagging: Vec<NodeId>,
    /// Status of each rollout in the configuration.
    pub rollouts: Vec<RolloutStatement>,
}

/// Status of one node, as another node knows it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct NodeStatus {
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Configuration revision that the node applies.
    pub revision: Revision,
    /// Whether the node is a member of the reporting node's view, and so may own shares of targets:
    /// parts of the limits that all nodes have in common.
    pub member: bool,
    /// Whether the node has begun a planned stop.
    pub leaving: bool,
}

impl From<&NodeView> for NodeStatus {
    fn from(node: &NodeView) -> Self {
        Self {
            domain: node.domain.clone(),
            revision: node.revision,
            member: node.member,
            leaving: node.leaving,
        }
    }
}
