//! The callers' HTTP interface.

use super::TrafficState;
use super::caller_body::{mark_request, read_body};
use super::order_listener::answer_order;
use super::query_check::check_query;
use super::query_report::{report_end, report_start};
use super::query_runner::run_query;
use crate::control::ControlHandle;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{StatusCode, header};
use axum::middleware::{from_fn, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use nutmegspread_model::{
    QueryAnswer, QueryRequest, RefusalBody, RefusalReason, RequestId, RunState, ServiceName,
};
use nutmegspread_policy::query::{QueryPlan, choose_version};
use nutmegspread_policy::routing::ServiceView;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// State that the handlers of the callers' interface share.
#[derive(Clone)]
pub struct CallerContext {
    /// Traffic state of the node.
    pub traffic: Arc<TrafficState>,
    /// Handle to the control state, which answers requests for addresses.
    pub control: ControlHandle,
}

/// Routes of the callers' interface. Requests carry their `CallerConnection` as an extension.
pub fn caller_router(traffic: Arc<TrafficState>, control: ControlHandle) -> Router {
    let context = CallerContext { traffic, control };
    Router::new()
        .route("/v1/addresses", get(answer_addresses))
        .route("/v1/services/{service}/query", post(answer_query))
        .route("/v1/services/{service}/orders", post(answer_order))
        .route_layer(from_fn_with_state(context.clone(), read_body))
        .fallback(refuse_unknown_path)
        .layer(DefaultBodyLimit::disable())
        .layer(from_fn(mark_request))
        .with_state(context)
}

#[derive(Debug, Default, Deserialize)]
struct AddressParameters {
    domain: Option<String>,
}

async fn answer_addresses(
    State(context): State<CallerContext>,
    Query(parameters): Query<AddressParameters>,
) -> Response {
    match context.control.answer_addresses(parameters.domain).await {
        Some(answer) => Json(answer).into_response(),
        None => {
            let id = context.traffic.new_request_id();
            refuse(
                &context,
                refusal(
                    id,
                    RefusalReason::NotReady,
                    "this node knows no address to give yet",
                ),
            )
        }
    }
}

async fn answer_query(
    State(context): State<CallerContext>,
    Path(service): Path<String>,
    body: Result<Bytes, axum::extract::rejection::BytesRejection>,
) -> Response {
    let _guard = context.traffic.track_request();
    let id = context.traffic.new_request_id();
    let started_at = context.traffic.clock().now();
    let result = match plan_query(&context, &service, id.clone(), body) {
        Ok((view, plan)) => {
            report_start(&context, &view, &plan);
            let traffic = Arc::clone(&context.traffic);
            let result = run_query(traffic, Arc::clone(&view), plan.clone()).await;
            let latency = context.traffic.clock().now() - started_at;
            report_end(&context, &view, &plan, &result, latency);
            context.traffic.answers().count(&plan.service, &result);
            result
        }
        Err(refusal) => Err(*refusal),
    };
    context
        .traffic
        .time("query.latency", context.traffic.clock().now() - started_at);
    match result {
        Ok(answer) => answer_response(&context, &service, answer),
        Err(refusal) => refuse(&context, refusal),
    }
}

type PlannedQuery = (Arc<ServiceView>, QueryPlan);

/// View of a service, if this node accepts work for it now.
///
/// # Errors
/// A refusal if the node accepts no work or the service does not exist.
pub fn admit(
    context: &CallerContext,
    service: &str,
    id: &RequestId,
) -> Result<Arc<ServiceView>, Box<RefusalBody>> {
    let make_refusal = |reason, message: &str| Box::new(refusal(id.clone(), reason, message));
    let view = context.traffic.view();
    if let Some(reason) = view.refuse_work {
        return Err(make_refusal(reason, "the node accepts no work now"));
    }
    let service_view = view.services.get(service).cloned();
    service_view.ok_or_else(|| {
        make_refusal(
            RefusalReason::NotFound,
            &format!("there is no service {service:?}"),
        )
    })
}

fn plan_query(
    context: &CallerContext,
    service: &str,
    id: RequestId,
    body: Result<Bytes, axum::extract::rejection::BytesRejection>,
) -> Result<PlannedQuery, Box<RefusalBody>> {
    let make_refusal = |reason, message: &str| Box::new(refusal(id.clone(), reason, message));
    let service_view = admit(context, service, &id)?;
    let request: QueryRequest =
        parse_body(body).map_err(|message| make_refusal(RefusalReason::BadRequest, &message))?;
    let deadline = check_query(&request, &service_view)
        .map_err(|error| make_refusal(error.reason, &error.message))?;
    let no_snapshot = || {
        make_refusal(
            RefusalReason::NoSnapshot,
            "no snapshot of the service is known",
        )
    };
    let version = choose_version(&service_view, Some(&request.route), &mut rand::rng())
        .ok_or_else(no_snapshot)?;
    let map = service_view
        .versions
        .get(&version)
        .and_then(|version| version.map.clone())
        .ok_or_else(no_snapshot)?;
    let plan = QueryPlan {
        request_id: id,
        service: ServiceName::from(service),
        version,
        map,
        route: request.route,
        query: request.query.into(),
        k: request.k,
        deadline,
    };
    Ok((service_view, plan))
}

/// Parses a JSON body.
///
/// # Errors
/// A message that names the field or position of the error.
pub fn parse_body<T: DeserializeOwned>(
    body: Result<Bytes, axum::extract::rejection::BytesRejection>,
) -> Result<T, String> {
    let body = body.map_err(|error| format!("body: {error}"))?;
    serde_json::from_slice(&body).map_err(|error| format!("body: {error}"))
}

fn answer_response(context: &CallerContext, service: &str, answer: QueryAnswer) -> Response {
    context.traffic.count("query.answered");
    if !answer.coverage.is_complete() {
        context.traffic.count("query.partial");
        log::info!(
            request_id = &*answer.request_id, service = service,
            answered = answer.coverage.answered, total = answer.coverage.total;
            "answered a query with missing shards"
        );
    }
    finish_response(context, StatusCode::OK, Json(answer).into_response())
}

/// Counts and logs a refusal, and builds the response for the caller.
pub fn refuse(context: &CallerContext, refusal: RefusalBody) -> Response {
    log_refusal(context, &refusal);
    let status = refusal_status(refusal.reason);
    finish_response(context, status, Json(refusal).into_response())
}

/// Counts and logs a refusal.
pub fn log_refusal(context: &CallerContext, refusal: &RefusalBody) {
    context.traffic.count("request.refused");
    log::info!(
        request_id = &*refusal.request_id, reason:serde = refusal.reason, run:serde = refusal.run;
        "refused a request: {}", refusal.message
    );
}

/// Sets the status of a response and, while the node is leaving, asks the caller to close the
/// connection.
pub fn finish_response(
    context: &CallerContext,
    status: StatusCode,
    mut response: Response,
) -> Response {
    *response.status_mut() = status;
    if context.control.is_leaving() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn refuse_unknown_path(State(context): State<CallerContext>) -> Response {
    let id = context.traffic.new_request_id();
    refuse(
        &context,
        refusal(id, RefusalReason::NotFound, "no such path or method"),
    )
}

/// Refusal of a request that no target has started.
pub fn refusal(request_id: RequestId, reason: RefusalReason, message: &str) -> RefusalBody {
    RefusalBody {
        request_id,
        reason,
        run: RunState::NotRun,
        message: message.into(),
    }
}

/// HTTP status of a refusal.
pub fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BadRequest | RefusalReason::KeyExpired => StatusCode::BAD_REQUEST,
        RefusalReason::NotFound => StatusCode::NOT_FOUND,
        RefusalReason::Unauthorized => StatusCode::UNAUTHORIZED,
        RefusalReason::Conflict | RefusalReason::KeyReused => StatusCode::CONFLICT,
        RefusalReason::DeadlineExceeded | RefusalReason::OutcomeUnknown => {
            StatusCode::GATEWAY_TIMEOUT
        }
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
