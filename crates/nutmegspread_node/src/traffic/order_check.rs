//! Checks of a caller's order, before its idempotency key is claimed.

use super::query_check::RequestError;
use axum::http::HeaderMap;
use nutmegspread_model::{IdempotencyKey, OrderRequest, RefusalReason};
use nutmegspread_policy::routing::ServiceView;

/// Largest length of an idempotency key, in bytes.
pub const KEY_BYTES_LIMIT: usize = 128;
/// Name of the header that contains the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Checks the idempotency key and the fields of an order; returns the key.
///
/// # Errors
/// The first error found.
pub fn check_order(
    request: &OrderRequest,
    headers: &HeaderMap,
    service: &ServiceView,
) -> Result<IdempotencyKey, RequestError> {
    let not_found = |message: String| RequestError {
        reason: RefusalReason::NotFound,
        message,
    };
    if !service.settings.orders {
        return Err(not_found("the service accepts no orders".into()));
    }
    if !service.settings.routes.contains(&request.route) {
        let message = format!(
            "field `route`: the service has no route {:?}",
            request.route
        );
        return Err(not_found(message));
    }
    read_key(headers)
}

/// Reads the idempotency key. Exactly one key of printable ASCII is accepted, so that it can be sent
/// unchanged in a header.
fn read_key(headers: &HeaderMap) -> Result<IdempotencyKey, RequestError> {
    let bad_request = |problem: &str| RequestError {
        reason: RefusalReason::BadRequest,
        message: format!("header `Idempotency-Key`: {problem}"),
    };
    let mut values = headers.get_all(KEY_HEADER).iter();
    let value = values.next().ok_or_else(|| bad_request("missing"))?;
    if values.next().is_some() {
        return Err(bad_request("given more than once"));
    }
    let key = value
        .to_str()
        .map_err(|_| bad_request("not printable ASCII"))?;
    if key.is_empty() || key.len() > KEY_BYTES_LIMIT {
        return Err(bad_request(&format!(
            "expected 1 to {KEY_BYTES_LIMIT} bytes, found {}",
            key.len()
        )));
    }
    if !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(bad_request("expected printable ASCII without spaces"));
    }
    Ok(key.into())
}
