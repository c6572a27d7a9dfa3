//! Heartbeat messages between nodes.

use nutmegspread_model::{Incarnation, NodeId, Revision, RosterRecord};
use serde::{Deserialize, Serialize};

/// Hash of the roster version and the members of a node's view; nodes with equal digests hold the
/// same view.
pub type ViewDigest = u64;

/// One heartbeat from one node to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// IP address and port of the sender's listener for peers.
    pub address: String,
    /// Cell of the sender: the group of nodes that can be members of each other's views.
    pub cell: String,
    /// Report of the sender about itself.
    pub report: NodeReport,
    /// Latest reports of other nodes whose heartbeats, as far as the sender knows, do not reach the
    /// receiver directly.
    pub relayed: Vec<NodeReport>,
    /// The sender's roster, if the receiver is known to have an older one.
    pub roster: Option<RosterRecord>,
}

/// Report of a node about its own state, which its heartbeats carry and its peers relay.
///
/// A report replaces those of the same incarnation with a lower sequence, and all reports of
/// earlier incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Id of the node that made the report.
    pub node: NodeId,
    /// Incarnation of the node's process: a number that increases with each start.
    pub incarnation: Incarnation,
    /// Number of the report among those of its incarnation, from 1.
    pub sequence: u64,
    /// Hash of the node's view.
    pub view: ViewDigest,
    /// Number of times that the node's view has changed, which shows a change even if a second one
    /// restored the earlier view.
    pub view_epoch: u64,
    /// Whether the node's view contains a majority of every set of voters.
    pub quorate: bool,
    /// Whether the node has begun a planned stop and has given up its shares.
    pub leaving: bool,
    /// Version of the node's roster.
    pub roster_version: u64,
    /// Configuration revision that the node applies.
    pub revision: Revision,
    /// Time since the platform last confirmed that it stores `revision`, in milliseconds; `None` if
    /// it has not.
    pub confirmed_age_ms: Option<u64>,
    /// Peers of which the node has recent reports: those in its cell or, in a heartbeat to a node
    /// of another cell, only the receiver.
    pub seen: Vec<SeenNode>,
}

/// What a node reports about one of its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenNode {
    /// Id of the peer.
    pub node: NodeId,
    /// Incarnation of the peer's process, from its latest report.
    pub incarnation: Incarnation,
    /// Sequence of the peer's latest report; acknowledges the heartbeat that carried it.
    pub sequence: u64,
    /// Whether a heartbeat was recently received directly from the peer.
    pub direct: bool,
    /// Whether the peer is a member of the reporting node's view.
    pub member: bool,
}

impl NodeReport {
    /// The entry in [`NodeReport::seen`] for this incarnation of a node.
    pub fn seen_entry(&self, node: &str, incarnation: Incarnation) -> Option<&SeenNode> {
        self.seen
            .iter()
            .find(|seen| &*seen.node == node && seen.incarnation == incarnation)
    }
}
