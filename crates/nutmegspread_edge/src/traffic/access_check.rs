//! Checks the key of a request before anything else is done for it.

use crate::traffic::caller_refusal::{CallerAnswer, refuse, status_answer};
use crate::traffic::request_head::request_id;
use crate::traffic::traffic_state::TrafficState;
use hyper::StatusCode;
use hyper::http::request::Parts;
use nutmegspread_platform::headers;
use nutmegspread_tier::{
    AccessDecision, AccessRule, ConfirmationAge, RouteTable, ServiceRoute, TenantRecord,
};
use std::sync::Arc;
use std::time::Duration;

/// `Retry-After` of a refusal because another configuration may be in force; another node may know it.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Returns the tenant of a request, `None` if the request belongs to none, or the answer for a caller
/// whose key is refused. `confirmation` has to be read before `table`.
pub fn check_access(
    traffic: &TrafficState,
    parts: &Parts,
    route: &ServiceRoute,
    table: &RouteTable,
    confirmation: Option<ConfirmationAge>,
) -> Result<Option<Arc<TenantRecord>>, Box<CallerAnswer>> {
    let tenants = table.tenants.as_deref();
    match AccessRule::default().decide(route.is_public, tenants, request_key(parts), confirmation) {
        AccessDecision::Open => Ok(None),
        AccessDecision::Tenant(tenant) => Ok(Some(tenant)),
        AccessDecision::Unsure => Err(Box::new(refuse(
            traffic,
            request_id(parts),
            "unconfirmed",
            UNCONFIRMED_RETRY_AFTER,
        ))),
        AccessDecision::Reject => {
            log::info!(event = "key_refused", request = request_id(parts), route:% = route.name,
                version = table.version, has_key = parts.headers.contains_key(headers::KEY);
                "request refused because no tenant has its key");
            traffic.shared.metrics.count("requests", "key_refused");
            Err(Box::new(status_answer(StatusCode::UNAUTHORIZED)))
        }
    }
}

/// Key of a request; `None` if the header is missing, empty, repeated or not text.
fn request_key(parts: &Parts) -> Option<&str> {
    let mut values = parts.headers.get_all(headers::KEY).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    let key = std::str::from_utf8(value.as_bytes()).ok()?;
    (!key.is_empty()).then_some(key)
}
