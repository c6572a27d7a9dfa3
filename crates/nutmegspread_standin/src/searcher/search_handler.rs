//! `POST /v1/search` of the searcher stand-in.

use super::reply_body::ReplyBody;
use super::request_handler::{RequestParts, StandinResponse, body_response, status_response};
use super::searcher_state::SearcherState;
use super::work_ledger::WorkPermit;
use super::{BodyFault, FaultSettings, shard_hits};
use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue};
use nutmegspread_model::{SearchReply, SearchRequest, TargetState};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Body of the fault [`BodyFault::Garbage`], which is not JSON.
const GARBAGE_BODY: &[u8] = b"\xff{not json";

/// Upper limit of a request's remaining time, in milliseconds; longer times are reduced to it.
const MAX_REMAINING_MS: u64 = 3_600_000;

/// Runs a search and answers it; status 400 when the request is not valid JSON.
pub async fn handle_search(parts: &RequestParts, state: &Arc<SearcherState>) -> StandinResponse {
    let arrival = Instant::now();
    let Ok(request) = serde_json::from_slice::<SearchRequest>(&parts.body) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    sleep(state.settings.network_delay).await;
    let deadline = arrival + remaining_time(parts, &request);
    let mut response = run_search(&request, deadline, state).await;
    sleep(state.settings.network_delay).await;
    echo_ids(&mut response, &request);
    if response.status() == StatusCode::OK {
        state
            .work
            .record_time(&request.request_id, arrival.elapsed());
    }
    response
}

async fn run_search(
    request: &SearchRequest,
    deadline: Instant,
    state: &Arc<SearcherState>,
) -> StandinResponse {
    let faults = state.faults_on(&request.route);
    if faults.shed_all {
        state.work.record_shed();
        return shed_response(state);
    }
    let snapshots = &state.settings.snapshots;
    if !snapshots.is_empty() && !snapshots.contains(&request.snapshot) {
        return status_with_state(StatusCode::GONE, state, &faults);
    }
    if Instant::now() >= deadline {
        return status_with_state(StatusCode::GATEWAY_TIMEOUT, state, &faults);
    }
    let Some(permit) = state.work.admit() else {
        return shed_response(state);
    };
    state.work.record_search(&request.request_id);
    let completion = Instant::now() + service_time(state, &faults, &permit);
    if completion > deadline {
        sleep_until(deadline).await;
        drop(permit);
        return status_with_state(StatusCode::GATEWAY_TIMEOUT, state, &faults);
    }
    sleep_until(completion).await;
    permit.complete();
    if state.draws.event_happens(faults.error_fraction) {
        return status_with_state(StatusCode::INTERNAL_SERVER_ERROR, state, &faults);
    }
    reply_response(request, state, &faults)
}

/// Draws the service time of an admitted request and lengthens it by the faults and while cold.
pub fn service_time(
    state: &SearcherState,
    faults: &FaultSettings,
    permit: &WorkPermit,
) -> Duration {
    let mut factor = faults.slow_factor * (1.0 + faults.load_slowdown * f64::from(permit.others()));
    if permit.is_cold() {
        factor *= state.settings.cold_factor;
    }
    let mut time = state.draws.service_time().mul_f64(factor.max(0.0));
    if state.draws.event_happens(faults.straggle_fraction) {
        time += faults.straggle_time;
    }
    time
}

/// Creates the response to a request that is shed.
pub fn shed_response(state: &SearcherState) -> StandinResponse {
    let (_, incarnation) = state.work.state();
    let mut response = status_response(StatusCode::SERVICE_UNAVAILABLE);
    set_header(&mut response, "x-target-state", "shed");
    set_header(&mut response, "x-incarnation", &incarnation.to_string());
    set_header(&mut response, "x-target-version", &state.settings.version);
    response
}

/// Adds the headers with the target's state, incarnation and version to a response.
pub fn set_state_headers(
    response: &mut StandinResponse,
    state: &SearcherState,
    target_state: TargetState,
) {
    let (_, incarnation) = state.work.state();
    set_header(response, "x-target-state", state_name(target_state));
    set_header(response, "x-incarnation", &incarnation.to_string());
    set_header(response, "x-target-version", &state.settings.version);
}

/// State that the stand-in reports: `draining` if that fault is set, otherwise its actual state.
pub fn reported_state(state: &SearcherState, faults: &FaultSettings) -> TargetState {
    if faults.draining {
        return TargetState::Draining;
    }
    state.work.state().0
}

fn remaining_time(parts: &RequestParts, request: &SearchRequest) -> Duration {
    let header = parts.headers.get("x-remaining-ms");
    let header_ms = header.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    Duration::from_millis(
        header_ms
            .unwrap_or(request.remaining_ms)
            .min(MAX_REMAINING_MS),
    )
}

fn status_with_state(
    status: StatusCode,
    state: &SearcherState,
    faults: &FaultSettings,
) -> StandinResponse {
    let mut response = status_response(status);
    set_state_headers(&mut response, state, reported_state(state, faults));
    response
}

fn reply_response(
    request: &SearchRequest,
    state: &SearcherState,
    faults: &FaultSettings,
) -> StandinResponse {
    let reply = search_reply(request, state, faults);
    let bytes = serde_json::to_vec(&reply).unwrap_or_default();
    let body = match faults.body {
        BodyFault::Truncated => ReplyBody::truncated(bytes),
        BodyFault::Garbage => ReplyBody::whole(GARBAGE_BODY),
        BodyFault::Endless => ReplyBody::Endless,
        _ => ReplyBody::whole(bytes),
    };
    let mut response = body_response(body);
    set_state_headers(&mut response, state, reply.state);
    set_header(&mut response, "x-request-id", &reply.request_id);
    set_header(&mut response, "x-attempt-id", &reply.attempt.to_string());
    set_header(&mut response, "x-snapshot", &reply.snapshot.to_string());
    response
}

fn search_reply(
    request: &SearchRequest,
    state: &SearcherState,
    faults: &FaultSettings,
) -> SearchReply {
    let settings = &state.settings;
    let mut request_id = request.request_id.clone();
    let mut attempt = request.attempt;
    let mut snapshot = request.snapshot;
    match faults.body {
        BodyFault::CrossedIds => {
            request_id = format!("{request_id}-other").into();
            attempt = attempt.wrapping_add(1);
        }
        BodyFault::WrongSnapshot => snapshot += 1,
        _ => {}
    }
    let hits = shard_hits(
        snapshot,
        request.shard,
        &request.query,
        settings.documents,
        request.k,
    );
    SearchReply {
        request_id,
        attempt,
        snapshot,
        shard: request.shard,
        version: settings.version.clone(),
        incarnation: state.work.state().1,
        state: reported_state(state, faults),
        complete: true,
        hits,
    }
}

/// Adds the ids of the request to the headers, unless the response already has ids.
fn echo_ids(response: &mut StandinResponse, request: &SearchRequest) {
    if response.headers().contains_key("x-request-id") {
        return;
    }
    set_header(response, "x-request-id", &request.request_id);
    set_header(response, "x-attempt-id", &request.attempt.to_string());
    set_header(response, "x-snapshot", &request.snapshot.to_string());
}

fn set_header(response: &mut StandinResponse, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}

fn state_name(state: TargetState) -> &'static str {
    match state {
        TargetState::Warm => "warm",
        TargetState::Cold => "cold",
        TargetState::Draining => "draining",
        TargetState::Shed => "shed",
    }
}
