//! Answers to requests that are refused.

use crate::traffic::traffic_state::TrafficState;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use nutmegspread_caller::BodyRefusal;
use std::time::Duration;

/// `Retry-After` of a refusal because the bodies of other requests take the memory for bodies. Those
/// that have stalled are evicted after this time.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Answer to a caller.
pub type CallerAnswer = Response<Full<Bytes>>;

/// Logs and counts a request that is refused before any attempt, and returns the refusal.
pub fn refuse(
    traffic: &TrafficState,
    id: Option<&str>,
    reason: &'static str,
    retry_after: Duration,
) -> CallerAnswer {
    log::info!(event = "refused", request = id, reason, retry_ms = retry_after.as_millis() as u64;
        "request refused without an attempt");
    traffic.shared.metrics.count("requests", reason);
    refusal_answer(retry_after)
}

/// Returns a 503 with this `Retry-After`.
pub fn refusal_answer(retry_after: Duration) -> CallerAnswer {
    let mut answer = status_answer(StatusCode::SERVICE_UNAVAILABLE);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64())) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// Returns an answer with a status alone.
pub fn status_answer(status: StatusCode) -> CallerAnswer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Refuses a request whose body was not taken. The rest of the body is never read as a request, as the
/// connection ends.
pub fn refuse_body(traffic: &TrafficState, id: Option<&str>, refusal: BodyRefusal) -> CallerAnswer {
    let label = refusal.label();
    let mut answer = match refusal {
        BodyRefusal::NoMemory | BodyRefusal::Evicted => {
            refuse(traffic, id, label, NO_MEMORY_RETRY_AFTER)
        }
        _ => {
            traffic.shared.metrics.count("requests", label);
            status_answer(match refusal {
                BodyRefusal::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
                BodyRefusal::TimedOut => StatusCode::REQUEST_TIMEOUT,
                _ => StatusCode::BAD_REQUEST,
            })
        }
    };
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(CONNECTION, close);
    answer
}
