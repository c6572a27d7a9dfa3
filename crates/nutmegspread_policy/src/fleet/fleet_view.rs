//! The fleet as one node sees it.

use super::ViewDigest;
use nutmegspread_model::{DomainName, Incarnation, MonotonicTime, NodeId, Revision};

/// Everything that other parts of the node may read of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// Nodes heard lately, this one included, in order of their ids.
    pub nodes: Vec<NodeView>,
    /// Version of the roster in force; 0 when none is known.
    pub roster_version: u64,
    /// Hash of the roster version and the members.
    pub digest: ViewDigest,
    /// Whether every member agreed on this view for the settling time.
    pub settled: bool,
    /// Whether a majority acknowledged this node lately.
    pub has_majority: bool,
    /// Time up to which shares may be used without a further step; zero for none.
    pub shares_valid_until: MonotonicTime,
    /// Time at which a leaving node may stop listening; `None` while it does not leave.
    pub leave_at: Option<MonotonicTime>,
}

/// One node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeView {
    /// Identifier.
    pub node: NodeId,
    /// Failure domain.
    pub domain: DomainName,
    /// IP address and port of its callers' listener.
    pub caller_address: String,
    /// IP address and port of its listener for other nodes.
    pub peer_address: String,
    /// Process start.
    pub incarnation: Incarnation,
    /// Whether it owns targets.
    pub member: bool,
    /// Whether it stops.
    pub leaving: bool,
    /// Revision of the configuration that it applies.
    pub revision: Revision,
}
