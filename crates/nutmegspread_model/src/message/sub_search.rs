//! A sub-request from the node that received a query to the node that owns a share of the target.

use super::{RunState, SearchReply, SearchRequest};
use crate::{ServiceName, TargetId};
use serde::{Deserialize, Serialize};

/// A sub-request that the receiving node sends on to a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubSearch {
    /// Service of the query.
    pub service: ServiceName,
    /// Target that the request is for.
    pub target: TargetId,
    /// Whether this is an extra attempt (a hedge or retry); a cold target gets no extra attempts.
    pub extra: bool,
    /// Request for the target.
    pub request: SearchRequest,
}

/// Why no usable reply to a sub-request was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SubFailure {
    /// The owner's queue for the target was full.
    QueueFull,
    /// The node that received the sub-request owns no share of the target.
    NotOwner,
    /// The target is cold, and the node must not send it this request: it is an extra attempt, or
    /// another owner sends the requests to the target while it is cold.
    Cold,
    /// The target rejected the request because of overload, without starting it.
    Shed,
    /// The target no longer has the snapshot.
    SnapshotGone,
    /// No connection to the target could be opened.
    ConnectFailed,
    /// The connection to the target failed after the request was handed to it.
    ConnectionLost,
    /// The target was unresponsive: no byte was received from it within the limit.
    Silent,
    /// The time limit of the request passed.
    TimedOut,
    /// The reply was malformed, truncated, too large, or for another request.
    BadReply,
    /// The target answered with an error.
    TargetError,
    /// The owner of the target could not be reached, or the stream to it failed.
    OwnerLost,
    /// The attempt was cancelled.
    Cancelled,
}

/// Outcome of a sub-request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubOutcome {
    /// A reply whose request, attempt and shard match those of the sub-request.
    Reply(SearchReply),
    /// No usable reply was received.
    Failure {
        /// Why there is no usable reply.
        failure: SubFailure,
        /// Whether the target may have run the request.
        run: RunState,
    },
}
