//! Checks of a caller's query, before any sub-request is sent.

use nutmegspread_model::{QueryRequest, RefusalReason};
use nutmegspread_policy::routing::ServiceView;
use std::time::Duration;

/// Largest length of a query text, in bytes.
pub const QUERY_BYTES_LIMIT: usize = 16 * 1024;
/// Largest number of hits that a caller may request.
pub const HIT_LIMIT: u32 = 1000;

/// Error in a query or an order of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Message for the caller. If a field or header is invalid, the message names it.
    pub message: String,
}

/// Checks the fields of a query. Returns the time within which to answer it: the caller's deadline, or
/// the service's hard deadline if that is shorter or the caller gives none.
///
/// # Errors
/// The first error found.
pub fn check_query(
    request: &QueryRequest,
    service: &ServiceView,
) -> Result<Duration, RequestError> {
    let bad_request = |message: String| {
        Err(RequestError {
            reason: RefusalReason::BadRequest,
            message,
        })
    };
    let hard_deadline = service.settings.coverage.hard_deadline;
    if !service.settings.routes.contains(&request.route) {
        let message = format!(
            "field `route`: the service has no route {:?}",
            request.route
        );
        return Err(RequestError {
            reason: RefusalReason::NotFound,
            message,
        });
    }
    if request.query.len() > QUERY_BYTES_LIMIT {
        return bad_request(format!(
            "field `query`: longer than {QUERY_BYTES_LIMIT} bytes"
        ));
    }
    if request.k == 0 || request.k > HIT_LIMIT {
        return bad_request(format!(
            "field `k`: expected 1 to {HIT_LIMIT}, found {}",
            request.k
        ));
    }
    match request.deadline() {
        Some(deadline) if deadline.is_zero() => {
            bad_request("field `deadline_ms`: expected more than 0, found 0".into())
        }
        Some(deadline) => Ok(deadline.min(hard_deadline)),
        None => Ok(hard_deadline),
    }
}
