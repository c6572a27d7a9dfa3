//! Heartbeat messages between nodes.

use nutmegspread_model::{Incarnation, NodeId, Revision, RosterRecord};
use serde::{Deserialize, Serialize};

/// Hash of the roster version and the members of a node's view.
pub type ViewDigest = u64;

/// One heartbeat from one node to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// IP address and port of the sender's listener for peers.
    pub address: String,
    /// Cell of the sender; only nodes of the same cell can be members of each other's views.
    pub cell: String,
    /// Report of the sender about itself.
    pub report: NodeReport,
    /// Latest reports of nodes whose messages, as far as the sender knows, do not reach the
    /// receiver directly.
    pub relayed: Vec<NodeReport>,
    /// The sender's roster, if the receiver is known to have an older one.
    pub roster: Option<RosterRecord>,
}

/// Report of a node about its own state; a report replaces those with a lower sequence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Id of the node.
    pub node: NodeId,
    /// Number of the node's process start.
    pub incarnation: Incarnation,
    /// Number of the report, counted from the process start.
    pub sequence: u64,
    /// Hash of the node's view.
    pub view: ViewDigest,
    /// Number of changes of the node's view, which reveals a change that was reverted.
    pub view_epoch: u64,
    /// Whether the node's view contains a majority of every set of voters.
    pub quorate: bool,
    /// Whether the node has begun a planned stop and has given up its shares.
    pub leaving: bool,
    /// Version of the node's roster.
    pub roster_version: u64,
    /// Configuration revision that the node applies.
    pub revision: Revision,
    /// Time since the platform last confirmed that revision, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Nodes of its cell of which the node has recent reports.
    pub seen: Vec<SeenNode>,
}

/// What a node reports about one of its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenNode {
    /// Id of the peer.
    pub node: NodeId,
    /// Number of the peer's process start.
    pub incarnation: Incarnation,
    /// Highest sequence received in a report of the peer; acknowledges that report.
    pub sequence: u64,
    /// Whether a message was recently received directly from the peer.
    pub direct: bool,
    /// Whether the peer is a member of the reporting node's view.
    pub member: bool,
}

impl NodeReport {
    /// The entry in [`NodeReport::seen`] for one process start of a node.
    pub fn seen_entry(&self, node: &str, incarnation: Incarnation) -> Option<&SeenNode> {
        self.seen
            .iter()
            .find(|seen| &*seen.node == node && seen.incarnation == incarnation)
    }
}
