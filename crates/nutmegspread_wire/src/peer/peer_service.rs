//! Calls that nodes make on one another.

use super::{PeerEnvelope, SubOrder, SubOrderEnd};
use nutmegspread_model::{SubOutcome, SubSearch};

/// Calls between nodes.
#[tarpc::service]
#[allow(missing_docs, reason = "the macro generates undocumented items")]
pub trait PeerService {
    /// Runs a sub-request on a target of which the callee owns a share.
    async fn search(sub: SubSearch) -> SubOutcome;
    /// Sends an order to a target of which the callee owns a share, once.
    async fn order(order: SubOrder) -> SubOrderEnd;
    /// Delivers a control message; answers whether it was taken.
    async fn deliver(envelope: PeerEnvelope) -> bool;
}
