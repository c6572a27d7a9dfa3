//! Connects the operators' console to the control and traffic state of the node.

use crate::console::{ConsoleHandles, ConsoleOutcome, ConsoleState, CoverageLine, NodeLine};
use crate::control::{ApplyFailure, ControlHandle};
use crate::traffic::TrafficState;
use nutmegspread_model::{ConfigurationDocument, Revision};
use std::sync::Arc;
use std::time::Duration;

/// Returns the closures with which the console reads the state of the node and applies a document.
pub fn console_handles(
    control: ControlHandle,
    traffic: &Arc<TrafficState>,
    token: &str,
) -> ConsoleHandles {
    let traffic = Arc::clone(traffic);
    let state_control = control.clone();
    ConsoleHandles {
        state: Arc::new(move || {
            let control = state_control.clone();
            let traffic = Arc::clone(&traffic);
            Box::pin(async move { read_state(&control, &traffic).await })
        }),
        apply: Arc::new(move |document, base| {
            let control = control.clone();
            Box::pin(async move { apply(&control, document, base).await })
        }),
        token: token.into(),
    }
}

async fn read_state(control: &ControlHandle, traffic: &TrafficState) -> ConsoleState {
    let overview = control.overview().await;
    let report = overview.report;
    let nodes = report.nodes.iter().map(|(id, node)| NodeLine {
        node: id.clone(),
        domain: node.domain.clone(),
        revision: node.revision,
        lags: report.lagging.contains(id),
        leaving: node.leaving,
    });
    let answers = traffic.answers().counts();
    let coverage = answers.into_iter().map(|(service, counts)| CoverageLine {
        service,
        complete: counts.complete,
        partial: counts.partial,
        refused: counts.refused,
    });
    ConsoleState {
        nodes: nodes.collect(),
        node: report.node.clone(),
        document: overview.document,
        confirmed_age: report.confirmed_age_ms.map(Duration::from_millis),
        refusal: report.refuse_work.map(|reason| format!("{reason:?}")),
        rollouts: report.rollouts,
        coverage: coverage.collect(),
    }
}

async fn apply(
    control: &ControlHandle,
    document: ConfigurationDocument,
    base: Revision,
) -> ConsoleOutcome {
    match control.apply(document, base).await {
        Ok(revision) => ConsoleOutcome::Accepted(revision),
        Err(ApplyFailure::Invalid { errors }) => ConsoleOutcome::Invalid(errors),
        Err(ApplyFailure::Conflict {
            revision,
            differences,
        }) => ConsoleOutcome::Conflict {
            revision,
            differences,
        },
        Err(ApplyFailure::Platform {
            message,
            may_be_applied,
        }) => ConsoleOutcome::Unavailable {
            message,
            may_be_applied,
        },
    }
}
