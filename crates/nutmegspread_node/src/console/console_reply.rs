//! Replies to page requests and submitted forms.

use super::console_draft::ConsoleDraft;
use super::form_action::FormAction;
use super::page_frame::{PageNotice, show_frame};
use super::review_page::show_review;
use super::section_page::show_section;
use super::serving_page::{show_serving, with_serving_state};
use super::status_page::show_status;
use super::{ConsoleForm, ConsoleOutcome, ConsolePage, ConsoleState};
use nutmegspread_model::{ConfigurationDocument, Revision};
use std::time::SystemTime;

/// Reply to a submitted form.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsoleReply {
    /// A page to show, as HTML.
    Page(String),
    /// A document to download, as JSON.
    Download(String),
    /// A document to apply, provided that `base` is still in force. [`show_outcome`] then renders the
    /// reply.
    Apply {
        /// The document to apply.
        document: Box<ConfigurationDocument>,
        /// Revision from which the document was made.
        base: Revision,
    },
}

/// Renders a page with a new draft, as HTML.
pub fn show_page(state: &ConsoleState, page: ConsolePage) -> String {
    render(state, &ConsoleDraft::new(&state.document), page, None)
}

/// Computes the reply to a submitted form; a rollout that the form adds starts at the first full
/// minute from `now` on.
pub fn answer_form(state: &ConsoleState, form: &ConsoleForm, now: SystemTime) -> ConsoleReply {
    let mut draft = ConsoleDraft::from_form(&state.document, form);
    let page = form.page();
    let Some(action) = form.action() else {
        return ConsoleReply::Page(render(state, &draft, page, None));
    };
    match action {
        FormAction::Show(next) => show_next(state, &draft, page, next),
        FormAction::SetServing(serving, section, name) => {
            let seen_revision = form
                .value("seen")
                .and_then(|seen_revision| seen_revision.parse().ok());
            let document = with_serving_state(&state.document, serving, &section, &name);
            match document {
                Some(document) if seen_revision == Some(state.document.revision) => {
                    ConsoleReply::Apply {
                        document: Box::new(document),
                        base: state.document.revision,
                    }
                }
                _ => refuse_stale(state, &draft, page),
            }
        }
        FormAction::Discard => {
            let draft = ConsoleDraft::new(&state.document);
            ConsoleReply::Page(render(state, &draft, page, None))
        }
        FormAction::Rebase => {
            draft.base = state.document.revision;
            ConsoleReply::Page(render(state, &draft, page, None))
        }
        FormAction::Download => download(state, &draft),
        FormAction::Apply => apply(state, &draft),
        edit => {
            draft.edit(&edit, form.value("new").unwrap_or_default(), now);
            ConsoleReply::Page(render(state, &draft, page, None))
        }
    }
}

/// Renders the outcome of applying a document, as HTML; `form` is the form that was submitted.
pub fn show_outcome(state: &ConsoleState, form: &ConsoleForm, outcome: &ConsoleOutcome) -> String {
    let draft = draft_after(state, form, outcome);
    let notice = outcome_notice(outcome);
    render(state, &draft, form.page(), Some(&notice))
}

/// The draft to continue with: a new one if the submitted draft was applied, otherwise the submitted
/// one.
fn draft_after(state: &ConsoleState, form: &ConsoleForm, outcome: &ConsoleOutcome) -> ConsoleDraft {
    let mut draft = ConsoleDraft::from_form(&state.document, form);
    let ConsoleOutcome::Accepted(revision) = outcome else {
        return draft;
    };
    match form.action() {
        Some(FormAction::Apply) => ConsoleDraft::new(&state.document),
        Some(FormAction::SetServing(serving, section, name)) => {
            draft.apply_serving_state(serving, &section, &name, *revision);
            draft
        }
        _ => draft,
    }
}

/// Shows the next page, or the current page again if it contains text that could not be parsed.
fn show_next(
    state: &ConsoleState,
    draft: &ConsoleDraft,
    page: ConsolePage,
    next: ConsolePage,
) -> ConsoleReply {
    let next = if draft.has_unparsed() { page } else { next };
    ConsoleReply::Page(render(state, draft, next, None))
}

fn refuse_stale(state: &ConsoleState, draft: &ConsoleDraft, page: ConsolePage) -> ConsoleReply {
    let notice = PageNotice {
        message: "Nothing was changed: another revision came into force. Here is its state.".into(),
        details: Vec::new(),
    };
    ConsoleReply::Page(render(state, draft, page, Some(&notice)))
}

fn download(state: &ConsoleState, draft: &ConsoleDraft) -> ConsoleReply {
    let document = draft.document().filter(|_| draft.errors.is_empty());
    let text = document.and_then(|document| serde_json::to_string_pretty(&document).ok());
    match text {
        Some(text) => ConsoleReply::Download(text),
        None => ConsoleReply::Page(render(state, draft, ConsolePage::Review, None)),
    }
}

fn apply(state: &ConsoleState, draft: &ConsoleDraft) -> ConsoleReply {
    let document = draft.document().filter(|_| draft.errors.is_empty());
    match document {
        Some(document) => ConsoleReply::Apply {
            document: Box::new(document),
            base: draft.base,
        },
        None => ConsoleReply::Page(render(state, draft, ConsolePage::Review, None)),
    }
}

fn outcome_notice(outcome: &ConsoleOutcome) -> PageNotice {
    let (message, details) = match outcome {
        ConsoleOutcome::Accepted(revision) => {
            (format!("Revision {revision} is accepted."), &[][..])
        }
        ConsoleOutcome::Conflict {
            revision,
            differences,
        } => (
            format!(
                "Not applied: another operator was first and revision {revision} is in force. \
                 Differences from it to what you sent:"
            ),
            differences.as_slice(),
        ),
        ConsoleOutcome::Invalid(errors) => (
            "Not applied: the document has faults.".into(),
            errors.as_slice(),
        ),
        ConsoleOutcome::Unavailable {
            message,
            may_be_applied: true,
        } => (
            format!("It is not known whether the document was applied: {message}. Look again."),
            &[][..],
        ),
        ConsoleOutcome::Unavailable { message, .. } => {
            (format!("Not applied: {message}."), &[][..])
        }
    };
    PageNotice {
        message,
        details: details.to_vec(),
    }
}

fn render(
    state: &ConsoleState,
    draft: &ConsoleDraft,
    page: ConsolePage,
    notice: Option<&PageNotice>,
) -> String {
    let body = match page {
        ConsolePage::Status => show_status(state),
        ConsolePage::Serving => show_serving(&state.document),
        ConsolePage::Review => show_review(draft, &state.document),
        _ => show_section(draft, page),
    };
    show_frame(draft, page, notice, &body).into_string()
}
