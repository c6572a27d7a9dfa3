//! The choice of the nodes that watch the platform for all nodes.

use crate::fleet::FleetView;
use nutmegspread_model::{NodeId, rank_candidates};

/// Number of nodes that watch at a time; with two, one can stop and changes still arrive at once.
const WATCHER_COUNT: usize = 2;
/// Key by which nodes are ranked for the role.
const WATCH_KEY: &str = "platform-watch";

/// Whether `node` is one of the watchers, computed from the live nodes in its own view.
///
/// The platform counts an open watch as a call, so only a few nodes keep watches open; the others
/// read the objects of a kind when a watcher sends
/// [`PeerMessage::Changed`](super::PeerMessage::Changed). Nodes that know the same live nodes
/// choose the same watchers; a node that knows no live peer always watches.
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
