//! The parts that all pages have in common: menu, style and the hidden fields that contain the draft.

use super::ConsolePage;
use super::console_draft::ConsoleDraft;
use maud::{DOCTYPE, Markup, PreEscaped, html};

/// Style sheet of all pages, included so that a page loads nothing else.
const STYLE: &str = "\
body{font:16px/1.4 sans-serif;margin:0 auto;max-width:72rem;padding:1rem}\
nav{display:flex;flex-wrap:wrap;gap:.5rem;margin-bottom:1rem}\
fieldset{margin:0 0 1rem;display:grid;gap:.5rem;grid-template-columns:repeat(auto-fill,minmax(15rem,1fr))}\
label{display:flex;flex-direction:column}\
label.fault input,label.fault select{border:2px solid #b00020}\
strong.fault{color:#b00020}\
table{border-collapse:collapse}td,th{border:1px solid #888;padding:.25rem .5rem;text-align:left}\
button[aria-current]{font-weight:bold}\
";

/// A message shown above the form of a page.
#[derive(Clone, Debug, Default)]
pub(super) struct PageNotice {
    /// Text of the message.
    pub message: String,
    /// Details, one per list item.
    pub details: Vec<String>,
}

/// A whole page; its form contains the draft in hidden fields.
pub(super) fn show_frame(
    draft: &ConsoleDraft,
    page: ConsolePage,
    notice: Option<&PageNotice>,
    body: &Markup,
) -> Markup {
    let form = html! {
        (show_notice(notice))
        form method="post" action="/console" autocomplete="off" {
            // Pressing Enter in a field activates the first button, so this one only shows the page again.
            button type="submit" name="action" value={ "show/" (page.name()) } hidden {}
            input type="hidden" name="page" value=(page.name());
            input type="hidden" name="base" value=(draft.base);
            input type="hidden" name="draft" value=(draft.value);
            (show_menu(draft, page))
            h1 { (page.title()) }
            (body)
        }
    };
    show_document(page.title(), &form)
}

/// The sign-in page, on which an operator enters the token.
pub(super) fn show_login(is_refused: bool) -> Markup {
    let form = html! {
        h1 { "Sign in" }
        form method="post" action="/console/login" {
            label {
                span { "Operators' token" }
                input type="password" name="token" autocomplete="current-password";
                @if is_refused {
                    strong class="fault" role="alert" { "the token is not valid" }
                }
            }
            button type="submit" { "Sign in" }
        }
    };
    show_document("Sign in", &form)
}

fn show_document(title: &str, body: &Markup) -> Markup {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width";
                title { (title) " - nutmegspread" }
                style { (PreEscaped(STYLE)) }
            }
            body { (body) }
        }
    }
}

fn show_notice(notice: Option<&PageNotice>) -> Markup {
    html! {
        @if let Some(notice) = notice {
            section role="status" {
                p { strong { (notice.message) } }
                @if !notice.details.is_empty() {
                    ul { @for line in &notice.details { li { (line) } } }
                }
            }
        }
    }
}

fn show_menu(draft: &ConsoleDraft, current: ConsolePage) -> Markup {
    html! {
        nav {
            @for page in ConsolePage::ALL {
                button type="submit" name="action" value={ "show/" (page.name()) }
                    aria-current=[(page == current).then_some("page")] {
                    (page.title())
                    @let errors = menu_errors(draft, page);
                    @if errors > 0 { " (" (errors) " to mend)" }
                }
            }
        }
    }
}

fn menu_errors(draft: &ConsoleDraft, page: ConsolePage) -> usize {
    match page {
        page if page.is_section() => draft.error_count(Some(page.name())),
        ConsolePage::Review => draft.error_count(None),
        _ => 0,
    }
}
