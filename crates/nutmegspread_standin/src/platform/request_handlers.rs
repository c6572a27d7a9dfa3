//! HTTP handlers of the object API and of the stand-in's own switches.

use super::object_store::{ObjectPart, StoreError, VALUE_LIMIT_BYTES};
use super::shared_state::{SharedState, StandinState};
use super::watch_body::WatchBody;
use super::watch_stream::WatchStream;
use super::{CallCounts, FaultSettings};
use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use nutmegspread_model::ResourceVersion;
use serde::Deserialize;
use serde_json::Value;
use std::sync::Arc;

/// Parameters of collection and object calls.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct CallParameters {
    watch: bool,
    resource_version: Option<ResourceVersion>,
}

/// Shared state, as each handler receives it.
type StateHandle = State<Arc<SharedState>>;

/// Routes of the stand-in.
pub(super) fn router(state: Arc<SharedState>) -> Router {
    Router::new()
        .route(
            "/apis/nutmegspread/v1/{kind}",
            get(list_or_watch).post(create),
        )
        .route(
            "/apis/nutmegspread/v1/{kind}/{name}",
            get(fetch).put(replace).delete(delete),
        )
        .route(
            "/apis/nutmegspread/v1/{kind}/{name}/status",
            get(fetch).put(replace_status),
        )
        .route("/standin/faults", get(show_faults).post(set_faults))
        .route("/standin/calls", get(show_calls))
        .layer(DefaultBodyLimit::max(2 * VALUE_LIMIT_BYTES))
        .with_state(state)
}

async fn list_or_watch(
    State(state): StateHandle,
    Path(kind): Path<String>,
    Query(parameters): Query<CallParameters>,
) -> Response {
    if !parameters.watch {
        return read(&state, &kind, |state| {
            Ok(state.store.list(&kind, state.faults.stale_versions))
        })
        .await;
    }
    state.lock().counts.watches_opened += 1;
    if let Some(refusal) = pass_faults(&state).await {
        return refusal;
    }
    let position = parameters.resource_version.unwrap_or_default();
    Body::new(WatchStream::open(state, kind, position)).into_response()
}

async fn fetch(State(state): StateHandle, Path((kind, name)): Path<(String, String)>) -> Response {
    read(&state, &kind, |state| {
        let stale = state.faults.stale_versions;
        state
            .store
            .fetch(&kind, &name, stale)
            .ok_or(StoreError::NotFound)
    })
    .await
}

async fn create(
    State(state): StateHandle,
    Path(kind): Path<String>,
    Json(object): Json<Value>,
) -> Response {
    write(&state, &kind, |state| state.store.create(&kind, object)).await
}

async fn replace(
    State(state): StateHandle,
    Path((kind, name)): Path<(String, String)>,
    Json(object): Json<Value>,
) -> Response {
    write(&state, &kind, |state| {
        state.store.replace(&kind, &name, ObjectPart::Spec, object)
    })
    .await
}

async fn replace_status(
    State(state): StateHandle,
    Path((kind, name)): Path<(String, String)>,
    Json(object): Json<Value>,
) -> Response {
    write(&state, &kind, |state| {
        state
            .store
            .replace(&kind, &name, ObjectPart::Status, object)
    })
    .await
}

async fn delete(
    State(state): StateHandle,
    Path((kind, name)): Path<(String, String)>,
    Query(parameters): Query<CallParameters>,
) -> Response {
    let version = parameters.resource_version;
    write(&state, &kind, |state| {
        state.store.delete(&kind, &name, version)
    })
    .await
}

async fn show_faults(State(state): StateHandle) -> Json<FaultSettings> {
    Json(state.lock().faults.clone())
}

async fn set_faults(
    State(state): StateHandle,
    Json(faults): Json<FaultSettings>,
) -> Json<FaultSettings> {
    state.lock().faults = faults.clone();
    state.notify();
    Json(faults)
}

async fn show_calls(State(state): StateHandle) -> Json<CallCounts> {
    Json(state.lock().counts.clone())
}

async fn read(
    state: &SharedState,
    kind: &str,
    act: impl FnOnce(&StandinState) -> Result<Value, StoreError>,
) -> Response {
    state.lock().counts.count_read(kind);
    if let Some(refusal) = pass_faults(state).await {
        return refusal;
    }
    let result = act(&state.lock());
    wait_slow(state).await;
    answer(result)
}

async fn write(
    state: &SharedState,
    kind: &str,
    act: impl FnOnce(&mut StandinState) -> Result<Value, StoreError>,
) -> Response {
    state.lock().counts.count_write(kind);
    if let Some(refusal) = pass_faults(state).await {
        return refusal;
    }
    let (result, lost) = {
        let mut state = state.lock();
        let result = act(&mut state);
        (result, take_lost_answer(&mut state.faults))
    };
    state.notify();
    wait_slow(state).await;
    if lost {
        return Body::new(WatchBody::broken()).into_response();
    }
    answer(result)
}

/// Applies the faults that come before an effect.
async fn pass_faults(state: &SharedState) -> Option<Response> {
    let faults = state.lock().faults.clone();
    if faults.down {
        return Some(StatusCode::SERVICE_UNAVAILABLE.into_response());
    }
    if faults.hang {
        wait_hang(state).await;
        return Some(Body::new(WatchBody::broken()).into_response());
    }
    wait_slow(state).await;
    None
}

/// Waits until calls are answered again.
async fn wait_hang(state: &SharedState) {
    let mut changes = state.subscribe();
    while state.lock().faults.hang {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Waits half of the slowness.
async fn wait_slow(state: &SharedState) {
    let slow = state.lock().faults.slow;
    if !slow.is_zero() {
        tokio::time::sleep(slow / 2).await;
    }
}

fn take_lost_answer(faults: &mut FaultSettings) -> bool {
    let lost = faults.lose_answers > 0;
    faults.lose_answers = faults.lose_answers.saturating_sub(1);
    lost
}

fn answer(result: Result<Value, StoreError>) -> Response {
    match result {
        Ok(object) => Json(object).into_response(),
        Err(error) => (status_of(error), format!("{error:?}")).into_response(),
    }
}

fn status_of(error: StoreError) -> StatusCode {
    match error {
        StoreError::Conflict => StatusCode::CONFLICT,
        StoreError::NotFound => StatusCode::NOT_FOUND,
        StoreError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        StoreError::Invalid => StatusCode::BAD_REQUEST,
        StoreError::Gone => StatusCode::GONE,
    }
}
