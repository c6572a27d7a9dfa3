//! The fleet as one node sees it.

use super::ViewDigest;
use nutmegspread_model::{DomainName, Incarnation, MonotonicTime, NodeId, Revision};

/// The state of the fleet that other parts of the node may read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// Live nodes of the roster, this one included, in order of their ids.
    pub nodes: Vec<NodeView>,
    /// Version of the roster from which the members were computed; 0 if no roster is known.
    pub roster_version: u64,
    /// Hash of the roster version and the members, equal on all nodes that hold the same view.
    pub digest: ViewDigest,
    /// Whether all members have held this view for
    /// [`FleetSettings::settle_after`](super::FleetSettings::settle_after).
    pub settled: bool,
    /// Whether a majority has acknowledged a heartbeat that this node sent within the fence,
    /// [`FleetSettings::fence_after`](super::FleetSettings::fence_after).
    pub has_majority: bool,
    /// Time until which this node may use its shares unless a later step extends it; zero if it may
    /// use none.
    pub shares_valid_until: MonotonicTime,
    /// Number of times that this node gave up its shares because a majority did not acknowledge its
    /// heartbeats in time, or because it could not follow the changes of the roster.
    pub share_losses: u64,
    /// Time at which this node may stop listening; `None` unless it is leaving.
    pub leave_at: Option<MonotonicTime>,
}

/// One live node of the roster, as known to the node that holds the [`FleetView`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeView {
    /// Id of the node.
    pub node: NodeId,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// IP address and port of the node's listener for callers.
    pub caller_address: String,
    /// IP address and port of the node's listener for peers.
    pub peer_address: String,
    /// Incarnation of the node's process: a number that increases with each start.
    pub incarnation: Incarnation,
    /// Whether the node is a member of the view and so may own shares of targets.
    pub member: bool,
    /// Whether the node has begun a planned stop.
    pub leaving: bool,
    /// Configuration revision that the node applies.
    pub revision: Revision,
}
