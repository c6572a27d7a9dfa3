//! Checks what callers were told against the searchers' records.

use super::node_caller::OrderEnding;
use super::query_outcome::{QueryEnding, QueryOutcome};
use super::searcher_fleet::SearcherFleet;
use indexmap::{IndexMap, IndexSet};
use nutmegspread_model::RunState;

/// Every contradiction between the queries' endings and the searchers' records.
pub fn check_queries(outcomes: &[QueryOutcome], fleet: &SearcherFleet) -> Vec<String> {
    let mut faults = Vec::new();
    let mut ids = IndexSet::new();
    for outcome in outcomes {
        faults.extend(outcome.faults.iter().cloned());
        let Some(id) = &outcome.request_id else {
            continue;
        };
        if !ids.insert(id) {
            faults.push(format!("request id {id} was given twice"));
        }
        if outcome.ending == QueryEnding::Refused(RunState::NotRun) && fleet.has_started(id) {
            faults.push(format!("request {id} ran and was refused as not run"));
        }
    }
    faults
}

/// Every contradiction between the orders' endings and the searchers' records.
pub fn check_orders(
    endings: &IndexMap<String, Vec<OrderEnding>>,
    fleet: &SearcherFleet,
) -> Vec<String> {
    let check = |(key, endings): (&String, &Vec<OrderEnding>)| {
        let executions = fleet.executions(key);
        order_fault(endings, executions).map(|fault| format!("order {key}: {fault}"))
    };
    endings.iter().filter_map(check).collect()
}

fn order_fault(endings: &[OrderEnding], executions: u32) -> Option<String> {
    let is_answered = |ending: &OrderEnding| matches!(ending, OrderEnding::Answered(_));
    if executions > 1 {
        return Some(format!("ran {executions} times"));
    }
    if executions == 0 && endings.iter().any(is_answered) {
        return Some("was answered and never ran".into());
    }
    if executions == 1 && endings.iter().all(is_not_run) {
        return Some("ran and was refused as not run".into());
    }
    None
}

fn is_not_run(ending: &OrderEnding) -> bool {
    matches!(ending, OrderEnding::Refused(refusal) if refusal.run == RunState::NotRun)
}
