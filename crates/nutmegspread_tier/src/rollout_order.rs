//! An operator's order to move a service to another version of its software.

use crate::ServiceName;
use std::time::Duration;

/// State of a rollout, as recorded in the store for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The rollout is in progress; its outcome is open.
    Running,
    /// All traffic has moved to the new version; targets of the old version may stop.
    Completed,
    /// All traffic is back on the old version; the new version gets none.
    RolledBack,
}

/// The order to move the traffic of a service to targets of another version.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version of the targets that traffic moves to.
    pub version: String,
    /// Time after the order by which the rollout must be completed or rolled back.
    pub finish_within: Duration,
    /// State of the rollout that the store holds; `None` before the first one is written.
    pub recorded: Option<RolloutState>,
    /// Revision of the object in the store that held this order; a new state is written against it.
    pub revision: u64,
}
