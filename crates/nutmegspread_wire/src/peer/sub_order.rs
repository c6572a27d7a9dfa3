//! One order between the node that claimed it and the node that sends it to a target.

use crate::target::OrderCall;
use nutmegspread_model::TargetId;
use serde::{Deserialize, Serialize};

/// A claimed order for a target of the callee. The caller sends it once and never repeats it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubOrder {
    /// Target to send it to.
    pub target: TargetId,
    /// What the target gets.
    pub call: OrderCall,
    /// Time within which it may be handed to a connection, in milliseconds.
    pub remaining_ms: u64,
}

/// How an order at a target ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubOrderEnd {
    /// The target ran it, with this result.
    Ran(String),
    /// Nothing was handed to a connection, or the target says that it did not start.
    NotStarted,
    /// It was handed over and no usable answer came.
    Lost,
}
