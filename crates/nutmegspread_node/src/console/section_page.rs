//! Pages that edit one section of the document.

use super::ConsolePage;
use super::console_draft::ConsoleDraft;
use super::field_input::{show_error, show_field};
use super::field_spec::{
    DOMAIN_FIELDS, FieldSpec, LIMIT_FIELDS, ROLLOUT_FIELDS, SERVICE_FIELDS, STEP_FIELDS,
    TARGET_FIELDS,
};
use maud::{Markup, html};
use serde_json::Value;

/// The fields of every entry of the page's section, and a field to add an entry.
pub(super) fn show_section(draft: &ConsoleDraft, page: ConsolePage) -> Markup {
    let section = page.name();
    html! {
        (show_error(draft, section))
        @for name in draft.entries(section) {
            (show_entry(draft, page, &name))
        }
        p {
            label {
                span { "New name" }
                input type="text" name="new";
                (show_error(draft, &format!("new/{section}")))
            }
            button type="submit" name="action" value={ "add/" (section) } { "Add" }
        }
        button type="submit" name="action" value={ "show/" (section) } { "Check" }
    }
}

fn show_entry(draft: &ConsoleDraft, page: ConsolePage, name: &str) -> Markup {
    let section = page.name();
    let entry = format!("{section}/{name}");
    html! {
        fieldset {
            legend { (name) }
            (show_error(draft, &entry))
            @for spec in section_fields(page) { (show_field(draft, &entry, spec)) }
            @if page == ConsolePage::Targets { (show_limits(draft, name)) }
            @if page == ConsolePage::Rollouts { (show_steps(draft, name)) }
            p {
                button type="submit" name="action" value={ "remove/" (entry) } {
                    "Remove " (name)
                }
            }
        }
    }
}

fn section_fields(page: ConsolePage) -> &'static [FieldSpec] {
    match page {
        ConsolePage::Domains => DOMAIN_FIELDS,
        ConsolePage::Services => SERVICE_FIELDS,
        ConsolePage::Targets => TARGET_FIELDS,
        ConsolePage::Rollouts => ROLLOUT_FIELDS,
        ConsolePage::Status | ConsolePage::Serving | ConsolePage::Review => &[],
    }
}

fn show_limits(draft: &ConsoleDraft, target: &str) -> Markup {
    let entry = format!("targets/{target}");
    let limits = draft.value_at(&format!("{entry}/limits"));
    html! {
        @if limits.is_some_and(Value::is_object) {
            @for spec in LIMIT_FIELDS { (show_field(draft, &entry, spec)) }
            p {
                button type="submit" name="action" value={ "service-limits/" (target) } {
                    "Use the service's limits"
                }
            }
        } @else {
            p {
                button type="submit" name="action" value={ "own-limits/" (target) } {
                    "Set limits of its own"
                }
            }
        }
    }
}

fn show_steps(draft: &ConsoleDraft, rollout: &str) -> Markup {
    let entry = format!("rollouts/{rollout}/steps");
    let steps = draft.value_at(&entry).and_then(Value::as_array);
    let count = steps.map_or(0, Vec::len);
    html! {
        div {
            (show_error(draft, &entry))
            table {
                tr {
                    th { "Step" }
                    @for spec in STEP_FIELDS { th { (spec.label) } }
                    th {}
                }
                @for index in 0..count {
                    tr {
                        td { (index + 1) }
                        @for spec in STEP_FIELDS {
                            td { (show_field(draft, &format!("{entry}/{index}"), spec)) }
                        }
                        td {
                            button type="submit" name="action"
                                value={ "remove-step/" (rollout) "/" (index) } { "Remove step" }
                        }
                    }
                }
            }
            button type="submit" name="action" value={ "add-step/" (rollout) } { "Add step" }
        }
    }
}
