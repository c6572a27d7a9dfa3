//! Renders one field of a form as HTML.

use super::console_draft::{ConsoleDraft, FIELD_PREFIX};
use super::field_kind::FieldKind;
use super::field_spec::FieldSpec;
use maud::{Markup, html};
use serde_json::Value;

/// An input with its label and, if there is one, the error of its value.
pub(super) fn show_field(draft: &ConsoleDraft, entry: &str, spec: &FieldSpec) -> Markup {
    let path = format!("{entry}/{}", spec.path);
    let error = draft.errors.get(&path);
    html! {
        label class=[error.map(|_| "fault")] {
            span { (spec.label) }
            (show_input(draft, &path, spec.kind))
            (show_error(draft, &path))
        }
    }
}

/// The error at a path, if there is one.
pub(super) fn show_error(draft: &ConsoleDraft, path: &str) -> Markup {
    html! {
        @if let Some(error) = draft.errors.get(path) {
            strong class="fault" role="alert" { (error.message) }
        }
    }
}

fn show_input(draft: &ConsoleDraft, path: &str, kind: FieldKind) -> Markup {
    let name = format!("{FIELD_PREFIX}{path}");
    let value = draft.value_at(path).cloned().unwrap_or(Value::Null);
    let unparsed = draft.errors.get(path).and_then(|error| error.text.clone());
    let text = unparsed.unwrap_or_else(|| kind.format(&value));
    match choices(draft, kind) {
        Some(choices) => show_choice(&name, &text, &choices),
        None => {
            let mode = matches!(kind, FieldKind::Count).then_some("numeric");
            html! { input type="text" name=(name) value=(text) inputmode=[mode]; }
        }
    }
}

/// A list of choices; a value that is none of them is added, so that the form keeps it.
fn show_choice(name: &str, text: &str, choices: &[String]) -> Markup {
    let is_known = choices.iter().any(|choice| choice == text);
    html! {
        select name=(name) {
            @if !is_known {
                option value=(text) selected { (text) }
            }
            @for choice in choices {
                option value=(choice) selected[choice == text] { (choice) }
            }
        }
    }
}

fn choices(draft: &ConsoleDraft, kind: FieldKind) -> Option<Vec<String>> {
    match kind {
        FieldKind::Flag => Some(vec!["no".into(), "yes".into()]),
        FieldKind::Serving => Some(vec!["active".into(), "drained".into()]),
        FieldKind::Service => Some(draft.entries("services")),
        FieldKind::Domain => Some(draft.entries("domains")),
        FieldKind::Text
        | FieldKind::Count
        | FieldKind::Fraction
        | FieldKind::Time
        | FieldKind::Names => None,
    }
}
