//! Request with which a node sends an order to a target.

use nutmegspread_model::{IdempotencyKey, RequestId, RouteName};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/orders` to a target. The `Idempotency-Key` header repeats the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCall {
    /// Id of the caller's request.
    pub request_id: RequestId,
    /// Idempotency key of the order.
    pub key: IdempotencyKey,
    /// Route of the request within the service.
    pub route: RouteName,
    /// Content of the order, as the caller sent it.
    pub body: String,
}
