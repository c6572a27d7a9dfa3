//! Answer to a caller that asks which address to use.

use crate::{DomainName, NodeId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One node that a caller may connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddress {
    /// Node that listens there.
    pub node: NodeId,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// IP address and port of the callers' listener.
    pub address: String,
}

/// A short list of addresses, best first, and how long to keep it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Addresses in the order in which to try them.
    pub addresses: Vec<NodeAddress>,
    /// Time for which the list holds, in milliseconds.
    #[serde(rename = "keep_for_ms", with = "crate::duration_ms")]
    pub keep_for: Duration,
}
