//! An operator's order to move a service to another version of its software.

use crate::{ServiceName, StorePosition};
use std::time::Duration;

/// State of a rollout, as recorded in the store for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The rollout is in progress; it may still be completed or rolled back.
    Running,
    /// All traffic has moved to the new version; targets of the old version may stop.
    Completed,
    /// The rollout ended with all traffic on the old version; the new version gets none.
    RolledBack,
}

impl RolloutState {
    /// Whether the rollout has ended, so that no evidence on it matters any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// The order to move the traffic of a service to targets of another version.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version of the targets that traffic moves to.
    pub version: String,
    /// Time within which the rollout must be completed or rolled back, measured from when a node
    /// first knew of the order.
    pub finish_within: Duration,
    /// State of the rollout that the store holds; `None` until a node has written one.
    pub recorded: Option<RolloutState>,
    /// Revision of the store object from which this order was read. A new state is written only if
    /// the object still has this revision, so that one of several writers succeeds.
    pub revision: u64,
    /// Era of the store in which the order was read; 0 if the store never named one.
    pub era: u64,
}

impl RolloutOrder {
    /// Position in the history of the store at which this order was read.
    pub fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.revision,
        }
    }

    /// Lowest position of evidence on this order if a node first reads it now. An order without a
    /// state is as the operator wrote it; one with a state was known before.
    pub fn evidence_position(&self) -> StorePosition {
        let is_first = self.recorded.is_none();
        StorePosition {
            revision: if is_first { self.revision } else { 0 },
            ..self.position()
        }
    }
}
