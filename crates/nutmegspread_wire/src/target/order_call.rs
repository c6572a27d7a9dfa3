//! One order as a node hands it to a target.

use nutmegspread_model::{IdempotencyKey, RequestId, RouteName};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/orders` at a target; the key goes in `Idempotency-Key` too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCall {
    /// Request for which the node asks.
    pub request_id: RequestId,
    /// Key of the order.
    pub key: IdempotencyKey,
    /// Route within the service.
    pub route: RouteName,
    /// What the target is to do.
    pub body: String,
}
