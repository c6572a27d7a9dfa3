//! `POST /v1/orders` of the searcher stand-in.
//!
//! The stand-in runs an order again each time it is received, so that its records show whether a
//! node sent an order twice.

use super::request_handler::{RequestParts, StandinResponse, json_response, status_response};
use super::search_handler::{reported_state, service_time, set_state_headers, shed_response};
use super::searcher_state::SearcherState;
use hyper::StatusCode;
use nutmegspread_model::{IdempotencyKey, OrderReply};
use std::sync::Arc;
use tokio::time::sleep;

/// Header with the idempotency key of an order.
const KEY_HEADER: &str = "idempotency-key";

/// Runs an order and answers it; status 400 when the idempotency key is missing.
pub async fn handle_order(parts: &RequestParts, state: &Arc<SearcherState>) -> StandinResponse {
    let header = parts.headers.get(KEY_HEADER);
    let Some(key) = header.and_then(|value| value.to_str().ok()) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    sleep(state.settings.network_delay).await;
    let response = run_order(key.into(), state).await;
    sleep(state.settings.network_delay).await;
    response
}

async fn run_order(key: IdempotencyKey, state: &Arc<SearcherState>) -> StandinResponse {
    let faults = state.faults();
    if faults.shed_all {
        state.work.record_shed();
        return shed_response(state);
    }
    let Some(permit) = state.work.admit() else {
        return shed_response(state);
    };
    let executions = state.work.record_order(&key);
    sleep(service_time(state, &faults, &permit)).await;
    permit.complete();
    if state.draws.event_happens(faults.error_fraction) {
        return status_response(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let target_state = reported_state(state, &faults);
    let result = format!("done {key} {executions}");
    let mut response = json_response(&OrderReply {
        key,
        state: target_state,
        result,
    });
    set_state_headers(&mut response, state, target_state);
    response
}
