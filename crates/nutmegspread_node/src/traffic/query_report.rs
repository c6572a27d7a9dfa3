//! Reports queries to the control state, for rollouts.

use super::caller_listener::CallerContext;
use nutmegspread_model::{QueryAnswer, RefusalBody, RefusalReason};
use nutmegspread_policy::control::ControlInput;
use nutmegspread_policy::query::QueryPlan;
use nutmegspread_policy::rollout::{QueryObservation, RolloutInput};
use nutmegspread_policy::routing::ServiceView;
use std::time::Duration;

/// Reports that a query has started, if several versions serve queries, as during a rollout.
///
/// Traffic never waits for control: if the queue of the control actor is full, the report is dropped
/// and counted.
pub fn report_start(context: &CallerContext, view: &ServiceView, plan: &QueryPlan) {
    let input = RolloutInput::QueryStarted {
        version: plan.version.clone(),
        route: plan.route.clone(),
    };
    report(context, view, plan, input);
}

/// Reports the result of a query, if several versions serve queries, as during a rollout.
pub fn report_end(
    context: &CallerContext,
    view: &ServiceView,
    plan: &QueryPlan,
    result: &Result<QueryAnswer, RefusalBody>,
    latency: Duration,
) {
    let is_complete = result
        .as_ref()
        .is_ok_and(|answer| answer.coverage.is_complete());
    let refusal = result.as_ref().err().map(|refusal| refusal.reason);
    let observation = QueryObservation {
        version: plan.version.clone(),
        route: plan.route.clone(),
        domain: context.traffic.settings().domain.clone(),
        failed: !is_complete,
        shed: refusal == Some(RefusalReason::Overloaded),
        latency,
    };
    report(context, view, plan, RolloutInput::QueryEnded(observation));
}

fn report(context: &CallerContext, view: &ServiceView, plan: &QueryPlan, input: RolloutInput) {
    if view.versions.len() < 2 {
        return;
    }
    let service = plan.service.clone();
    let is_queued = context
        .control
        .try_send_input(ControlInput::Query { service, input });
    if !is_queued {
        context.traffic.count("rollout.report_lost");
    }
}
