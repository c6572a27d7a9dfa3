//! Dispatches the HTTP requests of the searcher stand-in by method and path.

use super::connection_limiter::ConnectionPermit;
use super::order_handler::handle_order;
use super::reply_body::ReplyBody;
use super::search_handler::handle_search;
use super::searcher_state::SearcherState;
use super::{FaultChange, SearcherFaults};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, Response, StatusCode};
use nutmegspread_model::RequestId;
use serde::Serialize;
use std::convert::Infallible;
use std::future::pending;
use std::sync::Arc;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// HTTP response of the stand-in.
pub type StandinResponse = Response<ReplyBody>;

/// Header and body of an HTTP request.
pub struct RequestParts {
    /// Header fields of the request.
    pub headers: HeaderMap,
    /// Complete body of the request.
    pub body: Bytes,
}

/// Answers one request; never returns when the stand-in or the connection is silent.
///
/// `permit` is absent on the listener for faults and records, whose connections are not limited.
/// Paths under `/standin/` are answered even if the fault `silent` is set.
pub async fn handle_request(
    request: Request<Incoming>,
    permit: Option<Arc<ConnectionPermit>>,
    state: Arc<SearcherState>,
) -> Result<StandinResponse, Infallible> {
    let is_control = request.uri().path().starts_with("/standin/");
    let is_silent = || {
        let is_silenced = permit.as_ref().is_some_and(|permit| permit.is_silent());
        is_silenced || (!is_control && state.faults().silent)
    };
    if is_silent() {
        pending::<()>().await;
    }
    let response = route_request(request, &state).await;
    if is_silent() {
        pending::<()>().await;
    }
    Ok(response)
}

async fn route_request(request: Request<Incoming>, state: &Arc<SearcherState>) -> StandinResponse {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let headers = request.headers().clone();
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
    else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    let parts = RequestParts {
        headers,
        body: body.to_bytes(),
    };
    match (method, path.as_str()) {
        (Method::POST, "/v1/search") => handle_search(&parts, state).await,
        (Method::POST, "/v1/orders") => handle_order(&parts, state).await,
        (Method::POST, "/standin/faults") => change_faults(&parts, state),
        (Method::GET, "/standin/counters") => json_response(&state.counters()),
        (Method::GET, "/standin/requests") => json_response(&request_ids(state)),
        _ => status_response(StatusCode::NOT_FOUND),
    }
}

fn request_ids(state: &SearcherState) -> Vec<RequestId> {
    state.work.requests().into_keys().collect()
}

fn change_faults(parts: &RequestParts, state: &Arc<SearcherState>) -> StandinResponse {
    match serde_json::from_slice::<FaultChange>(&parts.body) {
        Ok(change) => {
            SearcherFaults::new(Arc::clone(state)).apply(change);
            status_response(StatusCode::NO_CONTENT)
        }
        Err(error) => {
            let mut response = Response::new(ReplyBody::whole(error.to_string()));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            response
        }
    }
}

/// Creates a response without a body.
pub fn status_response(status: StatusCode) -> StandinResponse {
    let mut response = Response::new(ReplyBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Creates a JSON response; status 500 when the value cannot be serialised.
pub fn json_response(value: &impl Serialize) -> StandinResponse {
    let Ok(bytes) = serde_json::to_vec(value) else {
        return status_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    body_response(ReplyBody::whole(bytes))
}

/// Creates a response with the content type of JSON and a body that may have a simulated fault.
pub fn body_response(body: ReplyBody) -> StandinResponse {
    let mut response = Response::new(body);
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
