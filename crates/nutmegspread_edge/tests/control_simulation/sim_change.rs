//! Changes that an operator and the searchers make.

use nutmegspread_platform::ObjectKind;
use tokio::time::Instant;

/// A change, and when the store acknowledged it.
#[derive(Clone, Debug)]
pub struct AcknowledgedChange {
    pub at: Instant,
    /// Time from which nodes have to apply the change: its acknowledgement, or if the store has lost it
    /// since, when it was written again; `None` while it is lost.
    pub due_from: Option<Instant>,
    /// Era and revision of the store after the change, or after it was written again.
    pub position: (u64, u64),
    pub change: SimChange,
}

/// A change that an operator or a searcher makes.
#[derive(Clone, Debug, PartialEq)]
pub enum SimChange {
    /// The configuration with this version.
    Configuration(u64),
    /// The drain or the removal of this target.
    Drain(String),
    /// The start or the end of the evacuation of this failure domain.
    Evacuation(String, bool),
}

impl SimChange {
    /// Kind of the object that the change affects.
    pub fn kind(&self) -> ObjectKind {
        match self {
            Self::Configuration(_) => ObjectKind::Configuration,
            Self::Drain(_) => ObjectKind::Targets,
            Self::Evacuation(..) => ObjectKind::Evacuations,
        }
    }
}
