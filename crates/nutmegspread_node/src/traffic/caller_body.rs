//! Reads the bodies of callers' requests within the limits, before the handlers see them.

use super::caller_listener::{
    CallerContext, finish_response, log_refusal, refusal, refusal_status,
};
use axum::Json;
use axum::body::Body;
use axum::extract::{Extension, Request, State};
use axum::http::{HeaderValue, StatusCode, header};
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use nutmegspread_caller::{BodyRefusal, CallerConnection};
use nutmegspread_model::RefusalReason;
use std::sync::Arc;

/// Largest body of a caller's request, in bytes.
const BODY_BYTES_LIMIT: usize = 64 * 1024;
/// `Retry-After` in seconds of a refusal because the bodies of other requests take the memory. Those that
/// have stalled are evicted after this time.
const NO_MEMORY_RETRY_AFTER: &str = "0.250";

/// Marks a request as being served until its answer is ready.
pub async fn mark_request(
    Extension(caller): Extension<Arc<CallerConnection>>,
    request: Request,
    next: Next,
) -> Response {
    caller.begin_request();
    let response = next.run(request).await;
    caller.end_request();
    response
}

/// Reads the body of a request into one buffer, or refuses the request and ends the connection, so that
/// no byte of the body is taken for a request.
pub async fn read_body(
    State(context): State<CallerContext>,
    Extension(caller): Extension<Arc<CallerConnection>>,
    request: Request,
    next: Next,
) -> Response {
    let (parts, body) = request.into_parts();
    match caller.read_body(body, BODY_BYTES_LIMIT).await {
        Ok(body) => next.run(Request::from_parts(parts, Body::from(body))).await,
        Err(refusal) => refuse_body(&context, refusal),
    }
}

fn refuse_body(context: &CallerContext, cause: BodyRefusal) -> Response {
    context.traffic.count(&format!("caller.{}", cause.label()));
    let (reason, message) = match cause {
        BodyRefusal::TooLong => (RefusalReason::BadRequest, "body: longer than 65536 bytes"),
        BodyRefusal::Unreadable => (RefusalReason::BadRequest, "body: it cannot be read"),
        BodyRefusal::TimedOut => (
            RefusalReason::DeadlineExceeded,
            "body: not complete in time",
        ),
        BodyRefusal::NoMemory | BodyRefusal::Evicted => (
            RefusalReason::Overloaded,
            "body: the memory for bodies is in use",
        ),
    };
    let refusal = refusal(context.traffic.new_request_id(), reason, message);
    log_refusal(context, &refusal);
    let status = match cause {
        BodyRefusal::TimedOut => StatusCode::REQUEST_TIMEOUT,
        _ => refusal_status(reason),
    };
    let mut response = finish_response(context, status, Json(refusal).into_response());
    let headers = response.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    if reason == RefusalReason::Overloaded {
        let retry_after = HeaderValue::from_static(NO_MEMORY_RETRY_AFTER);
        headers.insert(header::RETRY_AFTER, retry_after);
    }
    response
}
