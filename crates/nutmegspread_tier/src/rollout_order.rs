//! What an operator asks for when a service moves to another version of its software.

use crate::ServiceName;
use std::time::Duration;

/// How far a rollout has come, as operators read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The new version is being tried.
    Running,
    /// All traffic has moved; the old targets may stop.
    Completed,
    /// The new version gets no traffic any more.
    RolledBack,
}

/// The order to move the traffic of a service to targets of another version.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// Version of the targets that traffic moves to.
    pub version: String,
    /// Time from the order by which it must be completed or rolled back.
    pub finish_within: Duration,
    /// What the store holds as the state of this rollout.
    pub recorded: Option<RolloutState>,
    /// Revision of the store's object, which a new state is written on.
    pub revision: u64,
}
