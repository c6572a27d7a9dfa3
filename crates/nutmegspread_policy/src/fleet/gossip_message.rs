//! What nodes tell each other.

use nutmegspread_model::{Incarnation, NodeId, Revision, RosterRecord};
use serde::{Deserialize, Serialize};

/// Hash of a roster version and the set of members that a node sees.
pub type ViewDigest = u64;

/// One heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Listener of the sender for other nodes.
    pub address: String,
    /// Cell of the sender; only nodes of one cell take part in each other's views.
    pub cell: String,
    /// What the sender says of itself.
    pub report: NodeReport,
    /// Latest reports of nodes that the receiver does not hear itself.
    pub relayed: Vec<NodeReport>,
    /// The roster, when the receiver has an older one.
    pub roster: Option<RosterRecord>,
}

/// A node's statement of its own state; a higher sequence replaces a lower one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The node.
    pub node: NodeId,
    /// Number of its process start.
    pub incarnation: Incarnation,
    /// Count of its reports in this process.
    pub sequence: u64,
    /// Hash of its view.
    pub view: ViewDigest,
    /// Count of changes of its view, so that a change back and forth shows.
    pub view_epoch: u64,
    /// Whether its view holds a majority of every roster that still votes.
    pub quorate: bool,
    /// Whether it stops and has given up its shares.
    pub leaving: bool,
    /// Version of its roster.
    pub roster_version: u64,
    /// Revision of the configuration that it applies.
    pub revision: Revision,
    /// Time since the platform last confirmed that revision, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Other nodes as it sees them.
    pub seen: Vec<SeenNode>,
}

/// A node as another one sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenNode {
    /// The node seen.
    pub node: NodeId,
    /// Its process start.
    pub incarnation: Incarnation,
    /// Highest sequence known of it; this acknowledges that report.
    pub sequence: u64,
    /// Whether a message came straight from it lately.
    pub direct: bool,
    /// Whether it is in the view of the node that sees it.
    pub member: bool,
}

impl NodeReport {
    /// The entry for one process start of a node.
    pub fn seen_entry(&self, node: &str, incarnation: Incarnation) -> Option<&SeenNode> {
        self.seen
            .iter()
            .find(|seen| &*seen.node == node && seen.incarnation == incarnation)
    }
}
