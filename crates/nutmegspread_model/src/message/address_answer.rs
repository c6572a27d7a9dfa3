//! Answer to a caller that requests the addresses of nodes.

use crate::{DomainName, NodeId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Address of a node to which a caller may connect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddress {
    /// Id of the node.
    pub node: NodeId,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// IP address and port of the callers' listener.
    pub address: String,
}

/// A short list of node addresses, and how long the caller may use it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Addresses in the order in which the caller should use them.
    pub addresses: Vec<NodeAddress>,
    /// Time for which the caller may use the list, in milliseconds.
    #[serde(rename = "keep_for_ms", with = "crate::duration_ms")]
    pub keep_for: Duration,
}
