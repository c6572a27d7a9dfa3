//! Nodes as the platform's service records them.

use crate::{DomainName, Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// One node: where it listens and which process start it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeRecord {
    /// Identifier of the node.
    pub node: NodeId,
    /// Failure domain in which it runs.
    pub domain: DomainName,
    /// Group of nodes among which the ownership of targets is divided.
    pub cell: String,
    /// IP address and port of the callers' listener.
    pub caller_address: String,
    /// IP address and port of the listener for other nodes.
    pub peer_address: String,
    /// Number of the process start.
    pub incarnation: Incarnation,
    /// Whether the platform shows the VM as leaving.
    pub leaving: bool,
}

/// One VM in the platform's own list, which lags; the object's name is the id of its node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct VmRecord {
    /// Whether the platform takes the VM away.
    pub leaving: bool,
}

/// The nodes that vote on the ownership of targets, agreed by conditional update.
///
/// Two versions in a row may differ in any way: until a version has settled, a majority of the
/// previous one is needed as well.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RosterRecord {
    /// Count of changes; 0 before the first.
    pub version: u64,
    /// Nodes of this version, in order of their ids.
    pub nodes: Vec<NodeRecord>,
    /// Ids of the version before.
    pub previous: Vec<NodeId>,
}
