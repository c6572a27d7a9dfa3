//! The kinds of platform objects that the control state needs.

use serde::{Deserialize, Serialize};

/// A kind of platform object; a few nodes watch it and send its changes to their peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WatchedKind {
    /// The object with the configuration document.
    Configuration,
    /// Snapshot maps, which say which targets hold the shards of a snapshot.
    Maps,
    /// Verdicts of the operator's monitoring group on targets and domains.
    Verdicts,
    /// Records that nodes write about themselves.
    Nodes,
    /// The platform's list of VMs.
    Vms,
    /// The roster: the nodes that vote on the ownership of targets.
    Roster,
}
