//! What rollouts learn of queries.

use super::caller_listener::CallerContext;
use nutmegspread_model::{QueryAnswer, RefusalBody, RefusalReason};
use nutmegspread_policy::control::ControlInput;
use nutmegspread_policy::query::QueryPlan;
use nutmegspread_policy::rollout::{QueryObservation, RolloutInput};
use nutmegspread_policy::routing::ServiceView;
use std::time::Duration;

/// Reports the begin of a query, if a rollout moves its service.
///
/// Traffic never waits for control: a report that finds no room is lost.
pub fn report_begin(context: &CallerContext, view: &ServiceView, plan: &QueryPlan) {
    let input = RolloutInput::QueryStarted {
        version: plan.version.clone(),
        route: plan.route.clone(),
    };
    report(context, view, plan, input);
}

/// Reports the end of a query, if a rollout moves its service.
pub fn report_end(
    context: &CallerContext,
    view: &ServiceView,
    plan: &QueryPlan,
    ending: &Result<QueryAnswer, RefusalBody>,
    latency: Duration,
) {
    let is_whole = ending
        .as_ref()
        .is_ok_and(|answer| answer.coverage.is_complete());
    let refusal = ending.as_ref().err().map(|refusal| refusal.reason);
    let observation = QueryObservation {
        version: plan.version.clone(),
        route: plan.route.clone(),
        domain: context.traffic.settings().domain.clone(),
        failed: !is_whole,
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
    let has_room = context
        .control
        .try_send_input(ControlInput::Query { service, input });
    if !has_room {
        context.traffic.count("rollout.report_lost");
    }
}
