//! The status page: configuration, nodes, rollouts and coverage.

use super::utc_time::format_utc;
use super::{ConsoleState, NodeLine};
use maud::{Markup, html};
use nutmegspread_policy::rollout::{RolloutStatement, StatementState};
use std::time::{SystemTime, UNIX_EPOCH};

/// Content of the status page, as the node that renders it knows the state.
pub(super) fn show_status(state: &ConsoleState) -> Markup {
    html! {
        (show_configuration(state))
        h2 { "Nodes" }
        (show_nodes(state))
        h2 { "Planned moves" }
        (show_rollouts(&state.rollouts))
        h2 { "Coverage of the answers of " (state.node) }
        (show_coverage(state))
    }
}

fn show_configuration(state: &ConsoleState) -> Markup {
    let lagging: Vec<&str> = state
        .nodes
        .iter()
        .filter(|node| node.lags)
        .map(|node| &*node.node)
        .collect();
    html! {
        p {
            "Node " (state.node) " applies revision " (state.document.revision) ". "
            @match state.confirmed_age {
                Some(age) => { "The platform last confirmed it " (age.as_secs()) " s ago." }
                None => "The platform has not confirmed it yet."
            }
        }
        @if let Some(refusal) = &state.refusal {
            p { strong class="fault" { "The node refuses new work: " (refusal) } }
        }
        p {
            @if lagging.is_empty() {
                "No known node lags."
            } @else {
                strong { "Nodes that lag: " (lagging.join(", ")) }
            }
        }
    }
}

fn show_nodes(state: &ConsoleState) -> Markup {
    let remark = |node: &NodeLine| match (node.leaving, node.lags) {
        (true, _) => "leaving",
        (false, true) => "lags",
        (false, false) => "",
    };
    html! {
        table {
            tr { th { "Node" } th { "Failure domain" } th { "Revision" } th {} }
            @for node in &state.nodes {
                tr {
                    td { (node.node) }
                    td { (node.domain) }
                    td { (node.revision) }
                    td { (remark(node)) }
                }
            }
        }
    }
}

fn show_rollouts(rollouts: &[RolloutStatement]) -> Markup {
    html! {
        @if rollouts.is_empty() { p { "None is planned." } }
        table {
            @for statement in rollouts {
                tr {
                    th { (statement.rollout) }
                    td { (statement.state) }
                    td { "step " (statement.step) " of " (statement.step_count) }
                    td { (format!("{:.1}", statement.share * 100.0)) " % of queries here" }
                    td { (show_reason(statement)) }
                    td { (show_confirmation(statement.confirmed)) }
                }
            }
        }
    }
}

fn show_reason(statement: &RolloutStatement) -> Markup {
    html! {
        @if let Some(reason) = &statement.reason {
            (reason)
        } @else if let Some(brake) = &statement.brake {
            (brake)
        }
        @if statement.state == StatementState::Done {
            " Set the service's version and remove the move."
        }
    }
}

fn show_confirmation(confirmed: Option<SystemTime>) -> Markup {
    let elapsed = confirmed.map(|time| time.duration_since(UNIX_EPOCH).unwrap_or_default());
    let seconds = elapsed.map(|elapsed| elapsed.as_secs() * 1_000);
    html! {
        @match seconds {
            Some(millis) => { "as recorded at " (format_utc(millis)) " UTC" }
            None => "no record known"
        }
    }
}

fn show_coverage(state: &ConsoleState) -> Markup {
    html! {
        table {
            tr { th { "Service" } th { "Complete" } th { "Partial" } th { "Refused" } }
            @for line in &state.coverage {
                tr {
                    td { (line.service) }
                    td { (line.complete) }
                    td { (line.partial) }
                    td { (line.refused) }
                }
            }
        }
    }
}
