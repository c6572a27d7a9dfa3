//! HTTP handlers of the object API, the fault settings and the call counts.

use super::channel_body::ChannelBody;
use super::object_store::{MAX_OBJECT_BYTES, ObjectPart, StoreError};
use super::shared_state::{SharedState, StandinState};
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

/// Query parameters of calls to the object API.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct CallParameters {
    watch: bool,
    resource_version: Option<ResourceVersion>,
}

/// Handler argument with the state of the stand-in.
type StateHandle = State<Arc<SharedState>>;

/// Builds the router with all paths of the stand-in.
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
        .layer(DefaultBodyLimit::max(2 * MAX_OBJECT_BYTES))
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
    if let Some(early_response) = apply_faults(&state).await {
        return early_response;
    }
    let version = parameters.resource_version.unwrap_or_default();
    Body::new(WatchStream::open(state, kind, version)).into_response()
}

async fn fetch(State(state): StateHandle, Path((kind, name)): Path<(String, String)>) -> Response {
    read(&state, &kind, |state| {
        let versions_ago = state.faults.stale_versions;
        state
            .store
            .fetch(&kind, &name, versions_ago)
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
    operation: impl FnOnce(&StandinState) -> Result<Value, StoreError>,
) -> Response {
    state.lock().counts.count_read(kind);
    if let Some(early_response) = apply_faults(state).await {
        return early_response;
    }
    let result = operation(&state.lock());
    wait_half_delay(state).await;
    result_response(result)
}

async fn write(
    state: &SharedState,
    kind: &str,
    operation: impl FnOnce(&mut StandinState) -> Result<Value, StoreError>,
) -> Response {
    state.lock().counts.count_write(kind);
    if let Some(early_response) = apply_faults(state).await {
        return early_response;
    }
    let (result, withheld) = {
        let mut state = state.lock();
        let result = operation(&mut state);
        (result, withhold_answer(&mut state.faults))
    };
    state.notify();
    wait_half_delay(state).await;
    if withheld {
        return Body::new(ChannelBody::broken()).into_response();
    }
    result_response(result)
}

/// Applies the faults that act before a call is executed.
///
/// Returns a response if a fault ends the call here; otherwise the call has to be executed.
async fn apply_faults(state: &SharedState) -> Option<Response> {
    let faults = state.lock().faults.clone();
    if faults.down {
        return Some(StatusCode::SERVICE_UNAVAILABLE.into_response());
    }
    if faults.hang {
        wait_until_hang_ends(state).await;
        return Some(Body::new(ChannelBody::broken()).into_response());
    }
    wait_half_delay(state).await;
    None
}

/// Waits until the fault `hang` is cleared.
async fn wait_until_hang_ends(state: &SharedState) {
    let mut changes = state.subscribe();
    while state.lock().faults.hang {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Waits one half of the delay that the fault `slow` sets.
async fn wait_half_delay(state: &SharedState) {
    let slow = state.lock().faults.slow;
    if !slow.is_zero() {
        tokio::time::sleep(slow / 2).await;
    }
}

/// Whether the answer to a write has to be withheld; if so, reduces `lose_answers` by 1.
fn withhold_answer(faults: &mut FaultSettings) -> bool {
    let withheld = faults.lose_answers > 0;
    faults.lose_answers = faults.lose_answers.saturating_sub(1);
    withheld
}

fn result_response(result: Result<Value, StoreError>) -> Response {
    match result {
        Ok(object) => Json(object).into_response(),
        Err(error) => (status_code(error), format!("{error:?}")).into_response(),
    }
}

fn status_code(error: StoreError) -> StatusCode {
    match error {
        StoreError::Conflict => StatusCode::CONFLICT,
        StoreError::NotFound => StatusCode::NOT_FOUND,
        StoreError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        StoreError::Invalid => StatusCode::BAD_REQUEST,
        StoreError::Gone => StatusCode::GONE,
    }
}
