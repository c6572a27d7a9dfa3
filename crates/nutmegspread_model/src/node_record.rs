//! Objects of the platform that describe nodes: node records, VMs and the roster.

use crate::{DomainName, Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// A node, as it describes itself to its peers: its addresses, failure domain and process start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeRecord {
    /// Identifier of the node.
    pub node: NodeId,
    /// Failure domain in which the node runs.
    pub domain: DomainName,
    /// Name of the group of nodes that divide the ownership of targets among themselves.
    pub cell: String,
    /// IP address and port of the callers' listener.
    pub caller_address: String,
    /// IP address and port of the listener for peers.
    pub peer_address: String,
    /// Number of the node's process start.
    pub incarnation: Incarnation,
    /// Whether the platform reports that the node's VM will be removed.
    pub leaving: bool,
}

/// A VM in the platform's list of VMs; the name of the object is the id of the node on it.
///
/// The list is updated with a delay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct VmRecord {
    /// Whether the platform is going to remove the VM.
    pub leaving: bool,
}

/// The nodes that vote on the ownership of targets; changed only by conditional updates.
///
/// Two successive versions may have no node in common. Therefore, until a version has settled, a
/// decision also needs a majority of the previous version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RosterRecord {
    /// Number of changes so far; 0 before the first one.
    pub version: u64,
    /// Nodes of this version, ordered by id.
    pub nodes: Vec<NodeRecord>,
    /// Ids of the nodes in the previous version.
    pub previous: Vec<NodeId>,
}
