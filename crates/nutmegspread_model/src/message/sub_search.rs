//! One sub-request between the node that took a query and the node that owns the target.

use super::{RunState, SearchReply, SearchRequest};
use crate::{ServiceName, TargetId};
use serde::{Deserialize, Serialize};

/// A sub-request for a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubSearch {
    /// Service of the query.
    pub service: ServiceName,
    /// Target to ask.
    pub target: TargetId,
    /// Whether it is a hedge or retry; a cold target gets none.
    pub extra: bool,
    /// What to ask it.
    pub request: SearchRequest,
}

/// Why a sub-request brought no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SubFailure {
    /// The owner's queue for the target was full.
    QueueFull,
    /// The node owns no share of the target now.
    NotOwner,
    /// The target is in cold start and takes this work from elsewhere or not at all.
    Cold,
    /// The target refused before it started.
    Shed,
    /// The target no longer holds the snapshot.
    SnapshotGone,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke after the request was handed to it.
    ConnectionLost,
    /// No byte came within the bound for silence.
    Silent,
    /// The time for the request ran out.
    TimedOut,
    /// The reply was malformed, truncated, too large, or for another request.
    BadReply,
    /// The target answered with an error.
    TargetError,
    /// The node between could not be reached.
    OwnerLost,
    /// The attempt was cancelled.
    Cancelled,
}

/// End of a sub-request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubOutcome {
    /// A reply that names the request, attempt and shard asked for.
    Reply(SearchReply),
    /// No usable reply, and whether the target may have run the request.
    Failure {
        /// What went wrong.
        failure: SubFailure,
        /// Whether it may have run.
        run: RunState,
    },
}
