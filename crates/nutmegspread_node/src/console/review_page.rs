//! The page on which an operator reviews the draft, and downloads or applies it.

use super::console_draft::ConsoleDraft;
use maud::{Markup, html};
use nutmegspread_model::ConfigurationDocument;

/// Content of the review page: the draft's errors and its differences from the document in force.
pub(super) fn show_review(draft: &ConsoleDraft, in_force: &ConfigurationDocument) -> Markup {
    let is_ready = draft.errors.is_empty();
    html! {
        @if draft.base != in_force.revision { (show_base_mismatch(draft, in_force)) }
        @if !is_ready { (show_errors(draft)) }
        h2 { "Differences from revision " (in_force.revision) }
        (show_differences(&draft.differences(in_force)))
        p {
            button type="submit" name="action" value="download" disabled[!is_ready] {
                "Download the document"
            }
            button type="submit" name="action" value="apply" disabled[!is_ready] {
                "Apply as revision " (draft.base + 1)
            }
            button type="submit" name="action" value="discard" { "Discard the draft" }
        }
    }
}

fn show_base_mismatch(draft: &ConsoleDraft, in_force: &ConfigurationDocument) -> Markup {
    html! {
        p {
            strong {
                "This draft was begun on revision " (draft.base) ". Revision "
                (in_force.revision) " came into force since. "
            }
            "The differences below include what it changed: the draft would undo that. "
            "Mend the draft, or discard it, before you take the new revision as its base."
        }
        p {
            button type="submit" name="action" value="rebase" {
                "Keep the draft and base it on revision " (in_force.revision)
            }
        }
    }
}

fn show_errors(draft: &ConsoleDraft) -> Markup {
    html! {
        h2 { "To mend" }
        ul {
            @for (path, error) in &draft.errors {
                li { code { (path) } " " strong class="fault" { (error.message) } }
            }
        }
    }
}

fn show_differences(differences: &[String]) -> Markup {
    html! {
        @if differences.is_empty() {
            p { "There are none." }
        } @else {
            ul { @for line in differences { li { (line) } } }
        }
    }
}
