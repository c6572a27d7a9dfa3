//! Routes of the searcher stand-in.

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

/// A reply of the stand-in.
pub type StandinResponse = Response<ReplyBody>;

/// Header fields and body of a request.
pub struct RequestParts {
    /// Header fields.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Answers one request, or never when the stand-in or the connection is silent.
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

/// A reply without a body.
pub fn status_response(status: StatusCode) -> StandinResponse {
    let mut response = Response::new(ReplyBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// A JSON reply; status 500 when the value cannot be written.
pub fn json_response(value: &impl Serialize) -> StandinResponse {
    let Ok(bytes) = serde_json::to_vec(value) else {
        return status_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    body_response(ReplyBody::whole(bytes))
}

/// A reply with a JSON body that may be broken.
pub fn body_response(body: ReplyBody) -> StandinResponse {
    let mut response = Response::new(body);
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
