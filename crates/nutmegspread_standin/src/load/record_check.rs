//! Checks the endings of queries and orders against the searchers' records.

use super::node_caller::OrderEnding;
use super::query_outcome::{QueryEnding, QueryOutcome};
use super::searcher_fleet::SearcherFleet;
use indexmap::{IndexMap, IndexSet};
use nutmegspread_model::RunState;

/// Checks the queries and returns a text for each fault.
///
/// Reported are the faults of each answer, a request id that two queries share, and a query that
/// ran although its refusal says that it didn't run.
pub fn check_queries(outcomes: &[QueryOutcome], fleet: &SearcherFleet) -> Vec<String> {
    let mut faults = Vec::new();
    let mut ids = IndexSet::new();
    for outcome in outcomes {
        faults.extend(outcome.faults.iter().cloned());
        let Some(id) = &outcome.request_id else {
            continue;
        };
        if !ids.insert(id) {
            faults.push(format!("request id {id} was assigned to two queries"));
        }
        if outcome.ending == QueryEnding::Refused(RunState::NotRun) && fleet.has_started(id) {
            faults.push(format!(
                "request {id} ran, but its refusal says that it did not run"
            ));
        }
    }
    faults
}

/// Checks the orders, given by idempotency key, and returns a text for each fault.
///
/// Reported are an order that ran more than once, an order that was answered but never ran, and an
/// order that ran although all its endings are refusals that say that it didn't run.
pub fn check_orders(
    endings: &IndexMap<String, Vec<OrderEnding>>,
    fleet: &SearcherFleet,
) -> Vec<String> {
    let check_order = |(key, endings): (&String, &Vec<OrderEnding>)| {
        let executions = fleet.executions(key);
        order_fault(endings, executions).map(|fault| format!("order {key}: {fault}"))
    };
    endings.iter().filter_map(check_order).collect()
}

fn order_fault(endings: &[OrderEnding], executions: u32) -> Option<String> {
    let is_answered = |ending: &OrderEnding| matches!(ending, OrderEnding::Answered(_));
    if executions > 1 {
        return Some(format!("ran {executions} times"));
    }
    if executions == 0 && endings.iter().any(is_answered) {
        return Some("was answered, but never ran".into());
    }
    if executions == 1 && endings.iter().all(is_refused_as_not_run) {
        return Some("ran, but every refusal says that it did not run".into());
    }
    None
}

fn is_refused_as_not_run(ending: &OrderEnding) -> bool {
    matches!(ending, OrderEnding::Refused(refusal) if refusal.run == RunState::NotRun)
}
