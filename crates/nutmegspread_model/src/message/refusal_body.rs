//! Body of every refusal.

use crate::RequestId;
use serde::{Deserialize, Serialize};

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No target started it.
    NotRun,
    /// A target may have run it.
    Unknown,
}

/// Why a request was refused.
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
    /// The node is cut off from the platform and its peers.
    CutOff,
    /// Queues are full.
    Overloaded,
    /// No snapshot of the service is known.
    NoSnapshot,
    /// No target could answer.
    NoTarget,
    /// Coverage stayed below the least that the service allows.
    CoverageTooLow,
    /// The time ran out.
    DeadlineExceeded,
    /// The platform's service is needed and cannot be reached.
    PlatformUnavailable,
    /// The key is older than the time for which keys are kept.
    KeyExpired,
    /// The key was used for a different order.
    KeyReused,
    /// The order's outcome is not known.
    OutcomeUnknown,
    /// An operation that needs a token came without a valid one.
    Unauthorized,
    /// The revision that the operator edited is no longer the current one.
    Conflict,
}

/// Machine-readable refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Request that was refused.
    pub request_id: RequestId,
    /// Why.
    pub reason: RefusalReason,
    /// Whether it may have run.
    pub run: RunState,
    /// Text for people; it names the field at fault where there is one.
    pub message: String,
}
