//! The kinds of object that nutmegspread keeps in the platform.

/// Kind of a stored object; it is the last part of a collection's path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// The accepted configuration document.
    Configuration,
    /// Shard placement of one service and version.
    SnapshotMap,
    /// Recorded state of a rollout.
    Rollout,
    /// One partition of the order journal.
    OrderJournal,
    /// What a node says of itself.
    NodeRecord,
    /// The nodes among which ownership is divided.
    Roster,
    /// A verdict of the monitoring group.
    Verdict,
    /// The platform's own list of VMs, which lags.
    Vm,
}

impl ObjectKind {
    /// Name of the kind in paths and in [`nutmegspread_model::PlatformObject::kind`].
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
