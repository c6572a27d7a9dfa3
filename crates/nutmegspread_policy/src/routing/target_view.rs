//! Routing state of one target.

use super::TargetShare;
use nutmegspread_model::{DomainName, NodeId, TargetLimits, VersionName};

/// One target as traffic sees it.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    /// Version that it runs.
    pub version: VersionName,
    /// Failure domain in which it runs.
    pub domain: DomainName,
    /// IP address and port.
    pub address: String,
    /// Limits, summed over all nodes.
    pub limits: TargetLimits,
    /// Whether it may get new work: not drained, its domain not drained, and the verdict is up.
    pub takes_work: bool,
    /// Count of times that an operator or verdict brought it back; a change means cold start.
    pub return_count: u64,
    /// Nodes that own a share, best first; at most as many as it has slots.
    pub owners: Vec<NodeId>,
    /// What this node may use of it.
    pub share: TargetShare,
}
