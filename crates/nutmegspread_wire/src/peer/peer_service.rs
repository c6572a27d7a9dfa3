//! Calls that nodes make on one another.

use super::PeerEnvelope;
use nutmegspread_model::{SubOutcome, SubSearch};

/// Calls between nodes.
#[tarpc::service]
#[allow(missing_docs, reason = "the macro generates undocumented items")]
pub trait PeerService {
    /// Runs a sub-request on a target of which the callee owns a share.
    async fn search(sub: SubSearch) -> SubOutcome;
    /// Delivers a control message; answers whether it was taken.
    async fn deliver(envelope: PeerEnvelope) -> bool;
}
