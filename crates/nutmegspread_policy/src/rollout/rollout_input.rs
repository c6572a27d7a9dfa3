//! Inputs of the rollout policy.

use super::{BrakeReason, KnownRecord, NodeEvidence, QueryObservation};
use nutmegspread_model::{NodeId, ResourceVersion, RouteName, VersionName};
use std::time::SystemTime;

/// The outcome of a conditional write of the rollout record, as far as the node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The platform stored the record under this resource version.
    Accepted(ResourceVersion),
    /// The platform refused the write because the object had changed.
    Conflict,
    /// No answer was received; the write may have taken effect, or may still do so.
    Unknown,
}

/// An event that concerns one rollout on one node.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutInput {
    /// The time in [`super::RolloutOutput::wake_at`] has been reached.
    Tick,
    /// The nodes that are alive, including this one.
    Members(Vec<NodeId>),
    /// A query started.
    QueryStarted {
        /// The version chosen for the query.
        version: VersionName,
        /// Route of the service.
        route: RouteName,
    },
    /// A query ended.
    QueryEnded(QueryObservation),
    /// Query counts received from a peer.
    Evidence(NodeEvidence),
    /// A brake received from a peer; it stops the new version's traffic.
    Brake(BrakeReason),
    /// This node read the record from the platform.
    RecordRead(KnownRecord),
    /// A record received from a peer.
    PeerRecord(KnownRecord),
    /// This node's read showed that the platform has no record.
    RecordAbsent {
        /// When the platform confirmed the absence, by this node's clock.
        confirmed: SystemTime,
    },
    /// A read of the record failed.
    ReadFailed,
    /// A write of the record ended.
    WriteEnded {
        /// Token that identifies the write.
        token: String,
        /// The outcome of the write.
        outcome: WriteOutcome,
    },
}
