//! What a node says of its state to operators.

use crate::rollout::RolloutStatement;
use indexmap::IndexMap;
use nutmegspread_model::{DomainName, NodeId, RefusalReason, Revision};
use serde::Serialize;

/// What is in force where, as this node sees it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StatusReport {
    /// Node that reports.
    pub node: NodeId,
    /// Revision that it applies.
    pub revision: Revision,
    /// Age of the platform's last confirmation of that revision, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Why it refuses new work; absent when it takes work.
    pub refuse_work: Option<RefusalReason>,
    /// Nodes by id.
    pub nodes: IndexMap<NodeId, NodeStatus>,
    /// Nodes of the roster that do not, as far as known, apply that revision.
    pub lagging: Vec<NodeId>,
    /// Statements on the rollouts of the configuration.
    pub rollouts: Vec<RolloutStatement>,
}

/// One node as another one sees it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct NodeStatus {
    /// Its failure domain.
    pub domain: DomainName,
    /// Revision that it applies.
    pub revision: Revision,
    /// Whether it owns shares of targets.
    pub member: bool,
    /// Whether it is stopping.
    pub leaving: bool,
}
