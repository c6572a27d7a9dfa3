//! Everything that traffic needs to know of control state.

use super::ServiceView;
use indexmap::IndexMap;
use nutmegspread_model::{MonotonicTime, NodeId, RefusalReason, Revision, ServiceName};
use std::sync::Arc;

/// One published state of control; traffic reads it and never waits for control.
#[derive(Clone, Debug, Default)]
pub struct RoutingView {
    /// Revision of the configuration that this view applies; 0 before the first.
    pub revision: Revision,
    /// Why new work is refused now; `None` when the node takes work.
    pub refuse_work: Option<RefusalReason>,
    /// Time up to which this node's shares of targets may be used; zero for not at all.
    pub shares_valid_until: MonotonicTime,
    /// Node-to-node address of each live node.
    pub peers: IndexMap<NodeId, String>,
    /// Services by name.
    pub services: IndexMap<ServiceName, Arc<ServiceView>>,
}
