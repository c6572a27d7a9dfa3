//! Checks of a caller's query before anything is sent for it.

use nutmegspread_model::{QueryRequest, RefusalReason};
use nutmegspread_policy::routing::ServiceView;
use std::time::Duration;

/// Longest query text, in bytes.
pub const QUERY_BYTES_LIMIT: usize = 16 * 1024;
/// Most hits that a caller may ask for.
pub const HIT_LIMIT: u32 = 1000;

/// Why a query is not acceptable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryFault {
    /// Machine-readable reason.
    pub reason: RefusalReason,
    /// Text that names the field.
    pub message: String,
}

/// Checks every field; returns the time that the caller waits.
///
/// # Errors
/// The first field at fault.
pub fn check_query(request: &QueryRequest, service: &ServiceView) -> Result<Duration, QueryFault> {
    let bad = |message: String| {
        Err(QueryFault {
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
        return Err(QueryFault {
            reason: RefusalReason::NotFound,
            message,
        });
    }
    if request.query.len() > QUERY_BYTES_LIMIT {
        return bad(format!(
            "field `query`: longer than {QUERY_BYTES_LIMIT} bytes"
        ));
    }
    if request.k == 0 || request.k > HIT_LIMIT {
        return bad(format!(
            "field `k`: expected 1 to {HIT_LIMIT}, found {}",
            request.k
        ));
    }
    match request.deadline() {
        Some(deadline) if deadline.is_zero() => {
            bad("field `deadline_ms`: expected more than 0, found 0".into())
        }
        Some(deadline) => Ok(deadline.min(hard_deadline)),
        None => Ok(hard_deadline),
    }
}
