//! Body of the response with which a node refuses a request.

use crate::RequestId;
use serde::{Deserialize, Serialize};

/// Whether a target may have run a request that ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No target started the request.
    NotRun,
    /// A target may have run the request.
    Unknown,
}

/// Why a node refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The request is malformed; `message` names the field.
    BadRequest,
    /// The service, route or path does not exist.
    NotFound,
    /// The node has no configuration yet.
    NotReady,
    /// The node is stopping.
    Leaving,
    /// The node has had contact neither with the platform nor with a majority of nodes for too
    /// long.
    CutOff,
    /// The queues for the targets are full.
    Overloaded,
    /// The node knows no snapshot of the service.
    NoSnapshot,
    /// No target was able to answer.
    NoTarget,
    /// The coverage stayed below the minimum of the service.
    CoverageTooLow,
    /// The caller's deadline passed.
    DeadlineExceeded,
    /// The request needs the platform, which did not answer.
    PlatformUnavailable,
    /// The idempotency key is older than the time for which keys are kept.
    KeyExpired,
    /// The idempotency key was used for a different order.
    KeyReused,
    /// It is unknown whether the order ran, or what its result is.
    OutcomeUnknown,
    /// The operation requires a token, and the request has no valid one.
    Unauthorized,
    /// The operator edited a revision that is no longer the current one.
    Conflict,
}

/// Body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Id of the refused request.
    pub request_id: RequestId,
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether a target may have run the request.
    pub run: RunState,
    /// Explanation for people, with the name of the invalid field if there is one.
    pub message: String,
}
