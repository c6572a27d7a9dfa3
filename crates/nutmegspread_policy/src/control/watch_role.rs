//! Which nodes watch the platform for the others.

use crate::fleet::FleetView;
use nutmegspread_model::{NodeId, rank_candidates};

/// Nodes that watch at a time: one may stop without a delay for the others.
const WATCHER_COUNT: usize = 2;
const WATCH_KEY: &str = "platform-watch";

/// Whether a node is among those that watch, as far as it hears the others.
///
/// The platform counts a waiting watch as a call, so that only a few nodes hold one; the others
/// read when they are told of a change. Nodes that hear each other choose alike; a node alone
/// watches.
pub fn is_watcher(node: &NodeId, view: &FleetView) -> bool {
    let staying = view.nodes.iter().filter(|other| !other.leaving);
    let mut names: Vec<&str> = staying.map(|other| &*other.node).collect();
    if !names.contains(&&**node) {
        names.push(node);
    }
    let ranked = rank_candidates(WATCH_KEY, names);
    ranked
        .iter()
        .take(WATCHER_COUNT)
        .any(|name| **name == **node)
}
