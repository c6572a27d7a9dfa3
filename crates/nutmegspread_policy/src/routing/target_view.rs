//! The part of the routing view that describes one target.

use super::TargetShare;
use nutmegspread_model::{DomainName, NodeId, TargetLimits, VersionName};

/// Address, limits, owners and state of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    /// Version that the target runs.
    pub version: VersionName,
    /// Failure domain in which the target runs.
    pub domain: DomainName,
    /// IP address and port of the target.
    pub address: String,
    /// Limits on the requests and connections of all nodes together.
    pub limits: TargetLimits,
    /// Whether the target may get new work: neither the target nor its failure domain is drained,
    /// and the verdicts on both are up.
    pub accepts_work: bool,
    /// Number that grows whenever an operator (by ending a drain) or a verdict returns the target
    /// to service. After a change, the target counts as cold: it bears less than its limits.
    pub return_count: u64,
    /// Nodes that own a share of the target's limits, the preferred one first; at most one node per
    /// slot.
    pub owners: Vec<NodeId>,
    /// This node's share of the limits; empty if it isn't an owner.
    pub share: TargetShare,
}
