//! The kinds of platform objects that control follows.

use serde::{Deserialize, Serialize};

/// A kind that a few nodes watch and tell the others of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WatchedKind {
    /// The configuration document.
    Configuration,
    /// Snapshot maps.
    Maps,
    /// Verdicts of the monitoring group.
    Verdicts,
    /// Node records.
    Nodes,
    /// The platform's list of VMs.
    Vms,
    /// The roster.
    Roster,
}
