//! HTTP routes for operators: JSON routes, which require the bearer token, and the console.

use super::console_access::console_handles;
use crate::console::console_router;
use crate::control::{ApplyFailure, ControlHandle};
use crate::traffic::TrafficState;
use axum::extract::{DefaultBodyLimit, Query, Request, State};
use axum::http::{StatusCode, header};
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use nutmegspread_model::{ConfigurationDocument, Revision};
use serde::Deserialize;
use serde_json::json;
use std::sync::Arc;

/// Maximum size of a configuration document in a request, in bytes.
const DOCUMENT_BYTES_LIMIT: usize = 1 << 20;

#[derive(Clone)]
struct OperatorContext {
    control: ControlHandle,
    token: Arc<str>,
}

/// Creates the router of the operators' interface; `token` is the bearer token that it requires.
pub fn operator_router(control: ControlHandle, traffic: &Arc<TrafficState>, token: &str) -> Router {
    let console = console_router(console_handles(control.clone(), traffic, token));
    let context = OperatorContext {
        control,
        token: token.into(),
    };
    Router::new()
        .route("/v1/dump", get(answer_dump))
        .route("/v1/status", get(answer_status))
        .route(
            "/v1/configuration",
            get(answer_configuration).put(apply_configuration),
        )
        .layer(DefaultBodyLimit::max(DOCUMENT_BYTES_LIMIT))
        .layer(axum::middleware::from_fn_with_state(
            context.clone(),
            require_token,
        ))
        .with_state(context)
        .merge(console)
}

async fn require_token(
    State(context): State<OperatorContext>,
    request: Request,
    next: Next,
) -> Response {
    let presented = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let presented = presented.and_then(|value| value.strip_prefix("Bearer "));
    if presented.is_some_and(|token| same_token(token, &context.token)) {
        return next.run(request).await;
    }
    let body = json!({ "error": "unauthorized", "message": "a valid bearer token is required" });
    (StatusCode::UNAUTHORIZED, Json(body)).into_response()
}

/// Compares all bytes even if an early one differs, so that the duration of the comparison does
/// not reveal which part of a presented token is right.
fn same_token(presented: &str, token: &str) -> bool {
    let difference = presented
        .bytes()
        .zip(token.bytes())
        .fold(0, |sum, (a, b)| sum | (a ^ b));
    presented.len() == token.len() && difference == 0
}

async fn answer_dump(State(context): State<OperatorContext>) -> Response {
    Json(context.control.dump().await).into_response()
}

async fn answer_status(State(context): State<OperatorContext>) -> Response {
    Json(context.control.status().await).into_response()
}

async fn answer_configuration(State(context): State<OperatorContext>) -> Response {
    Json(context.control.configuration().await).into_response()
}

/// Query parameters of a request to apply a document.
#[derive(Debug, Deserialize)]
struct ApplyParameters {
    /// Revision that the document is based on.
    base: Revision,
}

async fn apply_configuration(
    State(context): State<OperatorContext>,
    Query(parameters): Query<ApplyParameters>,
    Json(document): Json<ConfigurationDocument>,
) -> Response {
    match context.control.apply(document, parameters.base).await {
        Ok(revision) => Json(json!({ "revision": revision })).into_response(),
        Err(failure) => (apply_status(&failure), Json(failure)).into_response(),
    }
}

fn apply_status(failure: &ApplyFailure) -> StatusCode {
    match failure {
        ApplyFailure::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ApplyFailure::Conflict { .. } => StatusCode::CONFLICT,
        ApplyFailure::Platform { .. } => StatusCode::SERVICE_UNAVAILABLE,
    }
}
