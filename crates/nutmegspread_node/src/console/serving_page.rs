//! The page on which an operator drains failure domains and targets, or returns them to service.

use maud::{Markup, html};
use nutmegspread_model::{ConfigurationDocument, DomainName, ServingState, TargetId};

/// Content of the page: one button for each failure domain and target of the configuration in force.
pub(super) fn show_serving(in_force: &ConfigurationDocument) -> Markup {
    html! {
        p {
            "A button changes the configuration in force at once and leaves the draft as it is. "
            "Who is taken out finishes what it has and gets no new work; who returns starts cold."
        }
        input type="hidden" name="seen" value=(in_force.revision);
        h2 { "Failure domains" }
        table {
            @for (name, domain) in &in_force.domains {
                (show_row("domains", name, "", domain.state))
            }
        }
        h2 { "Targets" }
        table {
            @for (id, target) in &in_force.targets {
                @let place = format!("{}, {}", target.service, target.domain);
                (show_row("targets", id, &place, target.state))
            }
        }
    }
}

fn show_row(section: &str, name: &str, place: &str, state: ServingState) -> Markup {
    let (text, verb, label) = match state {
        ServingState::Active => ("active", "drain", "Drain"),
        ServingState::Drained => ("drained", "return", "Return"),
    };
    html! {
        tr {
            th { (name) }
            td { (place) }
            td { (text) }
            td {
                button type="submit" name="action" value={ (verb) "/" (section) "/" (name) } {
                    (label) " " (name)
                }
            }
        }
    }
}

/// The document in force with the given state for one failure domain or target; `None` if it has no
/// such entry.
pub(super) fn with_serving_state(
    in_force: &ConfigurationDocument,
    state: ServingState,
    section: &str,
    name: &str,
) -> Option<ConfigurationDocument> {
    let mut document = in_force.clone();
    match section {
        "domains" => document.domains.get_mut(&DomainName::from(name))?.state = state,
        "targets" => document.targets.get_mut(&TargetId::from(name))?.state = state,
        _ => return None,
    }
    Some(document)
}
