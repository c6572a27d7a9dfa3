//! Checks of a caller's order before it is claimed.

use super::query_check::QueryFault;
use axum::http::HeaderMap;
use nutmegspread_model::{IdempotencyKey, OrderRequest, RefusalReason};
use nutmegspread_policy::routing::ServiceView;

/// Longest key, in bytes.
pub const KEY_BYTES_LIMIT: usize = 128;
/// Header that carries the key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Checks the key and every field; returns the key.
///
/// # Errors
/// The first field at fault.
pub fn check_order(
    request: &OrderRequest,
    headers: &HeaderMap,
    service: &ServiceView,
) -> Result<IdempotencyKey, QueryFault> {
    let not_found = |message: String| QueryFault {
        reason: RefusalReason::NotFound,
        message,
    };
    if !service.settings.orders {
        return Err(not_found("the service takes no orders".into()));
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

/// Exactly one key of printable ASCII, so that it passes unchanged through every header.
fn read_key(headers: &HeaderMap) -> Result<IdempotencyKey, QueryFault> {
    let bad = |problem: &str| QueryFault {
        reason: RefusalReason::BadRequest,
        message: format!("header `Idempotency-Key`: {problem}"),
    };
    let mut values = headers.get_all(KEY_HEADER).iter();
    let value = values.next().ok_or_else(|| bad("missing"))?;
    if values.next().is_some() {
        return Err(bad("given more than once"));
    }
    let key = value.to_str().map_err(|_| bad("not printable ASCII"))?;
    if key.is_empty() || key.len() > KEY_BYTES_LIMIT {
        return Err(bad(&format!(
            "expected 1 to {KEY_BYTES_LIMIT} bytes, found {}",
            key.len()
        )));
    }
    if !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(bad("expected printable ASCII without spaces"));
    }
    Ok(key.into())
}
