//! Messages with which the node that claimed an order lets a peer send the order to a target.

use crate::target::OrderCall;
use nutmegspread_model::TargetId;
use serde::{Deserialize, Serialize};

/// A claimed order for a target of which the called node owns a share.
///
/// The node that claimed the order makes this call once and never retries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubOrder {
    /// Target that gets the order.
    pub target: TargetId,
    /// Request that is sent to the target.
    pub call: OrderCall,
    /// Time in milliseconds within which the request may be written to a connection.
    pub remaining_ms: u64,
}

/// How the attempt to run an order on a target ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubOrderEnd {
    /// The target ran the order and returned this result.
    Ran(String),
    /// The order did not run: nothing was written to a connection, or the target rejected the order
    /// before it started.
    NotStarted,
    /// The order may have run: it was written to a connection and no valid answer was received.
    Lost,
}
