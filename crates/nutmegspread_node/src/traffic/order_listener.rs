//! The callers' interface for orders.

use super::caller_listener::{CallerContext, admit, finish_response, parse_body, refusal, refuse};
use super::order_check::check_order;
use crate::order::SubmittedOrder;
use axum::Json;
use axum::body::Bytes;
use axum::extract::rejection::BytesRejection;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use nutmegspread_model::{
    OrderAnswer, OrderRequest, RefusalBody, RefusalReason, RequestId, RunState, ServiceName,
};
use nutmegspread_policy::order::OrderVerdict;
use nutmegspread_wire::target::OrderCall;
use std::time::Duration;

/// Time within which an order is answered, including the claim of its idempotency key.
const ORDER_DEADLINE: Duration = Duration::from_secs(5);

/// Answers `POST /v1/services/{service}/orders`.
pub async fn answer_order(
    State(context): State<CallerContext>,
    Path(service): Path<String>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    let _guard = context.traffic.track_request();
    let id = context.traffic.new_request_id();
    let started_at = context.traffic.clock().now();
    let order = match plan_order(&context, &service, id.clone(), &headers, body) {
        Ok(order) => order,
        Err(refusal) => return refuse(&context, *refusal),
    };
    let key = order.call.key.clone();
    let verdict = context.control.submit_order(order).await;
    context
        .traffic
        .time("order.latency", context.traffic.clock().now() - started_at);
    match verdict {
        Some(OrderVerdict::Ran { result, repeated }) => {
            context.traffic.count("order.answered");
            let result = result.to_string();
            let answer = OrderAnswer {
                request_id: id,
                key,
                result,
                repeated,
            };
            finish_response(&context, StatusCode::OK, Json(answer).into_response())
        }
        Some(OrderVerdict::Refused {
            reason,
            run,
            message,
        }) => {
            let message = message.into();
            refuse(
                &context,
                RefusalBody {
                    request_id: id,
                    reason,
                    run,
                    message,
                },
            )
        }
        None => refuse(&context, unknown_outcome(id)),
    }
}

fn plan_order(
    context: &CallerContext,
    service: &str,
    id: RequestId,
    headers: &HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<SubmittedOrder, Box<RefusalBody>> {
    let make_refusal = |reason, message: &str| Box::new(refusal(id.clone(), reason, message));
    let service_view = admit(context, service, &id)?;
    let request: OrderRequest =
        parse_body(body).map_err(|message| make_refusal(RefusalReason::BadRequest, &message))?;
    let key = check_order(&request, headers, &service_view)
        .map_err(|error| make_refusal(error.reason, &error.message))?;
    let OrderRequest {
        route,
        body,
        issued_at,
    } = request;
    Ok(SubmittedOrder {
        service: ServiceName::from(service),
        call: OrderCall {
            request_id: id,
            key,
            route,
            body,
        },
        issued_at,
        deadline: context.traffic.clock().now() + ORDER_DEADLINE,
    })
}

/// Refusal of an order that was in the journal when the journal stopped.
fn unknown_outcome(request_id: RequestId) -> RefusalBody {
    RefusalBody {
        request_id,
        reason: RefusalReason::OutcomeUnknown,
        run: RunState::Unknown,
        message: "the node stopped before the order's outcome was known".into(),
    }
}
