//! The view that control publishes for traffic.

use super::ServiceView;
use indexmap::IndexMap;
use nutmegspread_model::{MonotonicTime, NodeId, RefusalReason, Revision, ServiceName};
use std::sync::Arc;

/// The control state that traffic needs, published as one immutable value. Traffic reads it and
/// never waits for control.
#[derive(Clone, Debug, Default)]
pub struct RoutingView {
    /// Revision of the configuration from which the view was built; 0 before a configuration was
    /// applied.
    pub revision: Revision,
    /// Reason for refusing new work; `None` if the node accepts work.
    pub refuse_work: Option<RefusalReason>,
    /// Time until which this node may use its shares of the targets' limits; zero if it may not use
    /// them.
    pub shares_valid_until: MonotonicTime,
    /// For each live node, the address at which it receives messages from its peers.
    pub peers: IndexMap<NodeId, String>,
    /// Services by name.
    pub services: IndexMap<ServiceName, Arc<ServiceView>>,
}
