//! What happens to a rollout.

use super::{BrakeReason, KnownRecord, NodeEvidence, QueryObservation};
use nutmegspread_model::{NodeId, ResourceVersion, RouteName, VersionName};
use std::time::SystemTime;

/// End of a conditional write, as far as the node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The platform took it and gave it this version.
    Accepted(ResourceVersion),
    /// The platform refused it: the object had changed.
    Conflict,
    /// No answer came; it may have taken effect, or may yet.
    Unknown,
}

/// Something that happened to a rollout on one node.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutInput {
    /// The time asked for by `wake_at` has come.
    Tick,
    /// The nodes that are alive, this one included.
    Members(Vec<NodeId>),
    /// A query was given to a version.
    QueryStarted {
        /// Version chosen.
        version: VersionName,
        /// Route within the service.
        route: RouteName,
    },
    /// A query ended.
    QueryEnded(QueryObservation),
    /// Counts of another node.
    Evidence(NodeEvidence),
    /// A brake of another node.
    Brake(BrakeReason),
    /// A record that the platform gave this node.
    RecordRead(KnownRecord),
    /// A record that another node passed on.
    PeerRecord(KnownRecord),
    /// The platform said that there is no record.
    RecordAbsent {
        /// When it said so, by this node's clock.
        confirmed: SystemTime,
    },
    /// A read brought no answer.
    ReadFailed,
    /// A write ended.
    WriteEnded {
        /// Token of the write.
        token: String,
        /// How it ended.
        outcome: WriteOutcome,
    },
}
