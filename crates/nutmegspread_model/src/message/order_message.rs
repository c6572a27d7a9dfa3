//! Requests and replies for orders, each of which runs at most once.

use super::TargetState;
use crate::{IdempotencyKey, RequestId, RouteName};
use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// Body of `POST /v1/services/{service}/orders`; the header `Idempotency-Key` has the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// Route within the service.
    pub route: RouteName,
    /// Content of the order, which is passed to the target.
    pub body: String,
    /// When the caller issued the key, in milliseconds since the Unix epoch.
    #[serde(rename = "issued_at_ms", with = "crate::time_ms")]
    pub issued_at: SystemTime,
}

/// Reply of a target to `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Key of the order that ran.
    pub key: IdempotencyKey,
    /// State that the target reports.
    pub state: TargetState,
    /// Result of the order.
    pub result: String,
}

/// Answer to the caller of an order that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Id of the request that is answered.
    pub request_id: RequestId,
    /// Key of the order.
    pub key: IdempotencyKey,
    /// Result that the target returned when it ran the order.
    pub result: String,
    /// Whether the order ran for another submission with the same key, so that the result was
    /// already recorded.
    pub repeated: bool,
}
