//! A caller's order, which runs at most once.

use super::TargetState;
use crate::{IdempotencyKey, RequestId, RouteName};
use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// Body of `POST /v1/services/{service}/orders`; the key comes in `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// Route within the service.
    pub route: RouteName,
    /// What the target is to do.
    pub body: String,
    /// When the caller made the key, in milliseconds since the Unix epoch.
    #[serde(rename = "issued_at_ms", with = "crate::time_ms")]
    pub issued_at: SystemTime,
}

/// Reply of a target to `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Key of the order that ran.
    pub key: IdempotencyKey,
    /// What the target says of itself.
    pub state: TargetState,
    /// Result of the order.
    pub result: String,
}

/// Answer to an order that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Request that this answers.
    pub request_id: RequestId,
    /// Key of the order.
    pub key: IdempotencyKey,
    /// Result that the target gave when it ran the order.
    pub result: String,
    /// Whether this repeats an outcome recorded earlier.
    pub repeated: bool,
}
