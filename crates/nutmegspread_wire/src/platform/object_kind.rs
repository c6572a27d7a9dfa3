//! Kinds of the objects that nutmegspread reads and writes in the platform's store.

/// Kind of a stored object. Its name is the last segment of a collection's path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// The configuration document that was accepted last.
    Configuration,
    /// Placement of all shards of one service and version on targets.
    SnapshotMap,
    /// Recorded state of a rollout.
    Rollout,
    /// One partition of the order journal.
    OrderJournal,
    /// The state that a node publishes about itself.
    NodeRecord,
    /// The nodes among which the ownership of targets is divided.
    Roster,
    /// A verdict of the monitoring group on a target or failure domain.
    Verdict,
    /// A VM in the platform's own list, which may be out of date.
    Vm,
}

impl ObjectKind {
    /// Returns the name of the kind in paths and in [`nutmegspread_model::PlatformObject::kind`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "Configuration",
            Self::SnapshotMap => "SnapshotMap",
            Self::Rollout => "Rollout",
            Self::OrderJournal => "OrderJournal",
            Self::NodeRecord => "NodeRecord",
            Self::Roster => "Roster",
            Self::Verdict => "Verdict",
            Self::Vm => "Vm",
        }
    }
}
