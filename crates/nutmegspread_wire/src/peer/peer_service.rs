//! Definition of the calls between nodes.

use super::{PeerEnvelope, SubOrder, SubOrderEnd};
use nutmegspread_model::{SubOutcome, SubSearch};

/// The calls that a node serves for its peers.
///
/// The order of the methods is part of the protocol, because calls are encoded by position.
#[tarpc::service]
#[allow(missing_docs, reason = "the macro generates undocumented items")]
pub trait PeerService {
    /// Runs a sub-request, the search of one shard, on a target of which the called node owns a
    /// share.
    async fn search(search: SubSearch) -> SubOutcome;
    /// Sends an order, once, to a target of which the called node owns a share.
    async fn order(order: SubOrder) -> SubOrderEnd;
    /// Delivers a control message; returns whether the called node accepted it.
    async fn deliver(envelope: PeerEnvelope) -> bool;
}
