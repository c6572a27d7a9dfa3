//! Pages of the console and replies to submitted forms, without HTTP.

mod console_fixture;

use console_fixture::{example_document, example_state, example_time, form_of, with_texts};
use nutmegspread_model::{ConfigurationDocument, ServingState, parse_document};
use nutmegspread_node::console::{
    ConsoleForm, ConsoleOutcome, ConsolePage, ConsoleReply, answer_form, show_outcome, show_page,
};
use std::time::Duration;

fn answer(form: &ConsoleForm) -> ConsoleReply {
    answer_form(&example_state(), form, example_time())
}

fn page_of(reply: ConsoleReply) -> String {
    match reply {
        ConsoleReply::Page(page) => page,
        other => panic!("expected a page, got {other:?}"),
    }
}

fn press(page: &str, action: &str) -> String {
    page_of(answer(&form_of(page, action)))
}

/// Changes texts of a page and presses the button that shows the review page; returns the resulting
/// page.
fn review_after(page: ConsolePage, texts: &[(&str, &str)]) -> String {
    let page = show_page(&example_state(), page);
    let form = with_texts(form_of(&page, "show/review"), texts);
    page_of(answer(&form))
}

fn document_to_apply(reply: ConsoleReply) -> (ConfigurationDocument, u64) {
    match reply {
        ConsoleReply::Apply { document, base } => (*document, base),
        other => panic!("expected a document to apply, got {other:?}"),
    }
}

#[test]
fn pages_match_their_snapshots() {
    for page in ConsolePage::ALL {
        let text = show_page(&example_state(), page).replace("><", ">\n<");
        insta::assert_snapshot!(page.name(), text);
    }
}

#[test]
fn a_form_submitted_unchanged_changes_nothing() {
    for page in ConsolePage::ALL {
        let text = show_page(&example_state(), page);
        let (document, base) = document_to_apply(answer(&form_of(&text, "apply")));
        assert_eq!(document, example_document(), "{page:?}");
        assert_eq!(base, 7);
    }
}

#[test]
fn edits_on_several_pages_are_combined_in_one_document() {
    let state = example_state();
    let page = show_page(&state, ConsolePage::Services);
    let service = "set/services/catalog";
    let texts = [
        (&*format!("{service}/coverage/minimum_coverage"), "0.95"),
        (&*format!("{service}/routes"), "search, lookup"),
        (&*format!("{service}/orders"), "yes"),
    ];
    let form = with_texts(form_of(&page, "show/rollouts"), &texts);
    let page = page_of(answer(&form));
    let texts = [
        ("set/rollouts/autumn/start_ms", "2028-02-29 12:00:00"),
        ("set/rollouts/autumn/finish_by_ms", "2028-02-29T14:30Z"),
        ("set/rollouts/autumn/steps/0/share", "0.02"),
    ];
    let form = with_texts(form_of(&page, "download"), &texts);
    let ConsoleReply::Download(text) = answer(&form) else {
        panic!("expected a download");
    };
    let document = parse_document("nutmegspread.json", &text).unwrap();
    let mut expected = example_document();
    let service = &mut expected.services["catalog"];
    service.coverage.minimum_coverage = 0.95;
    service.routes = vec!["search".into(), "lookup".into()];
    service.orders = true;
    let rollout = &mut expected.rollouts["autumn"];
    rollout.start = std::time::UNIX_EPOCH + Duration::from_millis(1_835_438_400_000);
    rollout.finish_by = rollout.start + Duration::from_secs(9_000);
    rollout.steps[0].share = 0.02;
    assert_eq!(document, expected);
}

#[test]
fn text_that_cannot_be_parsed_is_kept_in_its_field() {
    let text = review_after(
        ConsolePage::Services,
        &[("set/services/catalog/queue_limit", "many")],
    );
    assert!(text.contains("<h1>Services</h1>"));
    assert!(text.contains(r#"name="set/services/catalog/queue_limit" value="many""#));
    assert!(text.contains("expected a whole number from 0 up"));
}

#[test]
fn invalid_times_are_refused() {
    for time in [
        "2026-02-29 12:00",
        "2026-13-01 00:00",
        "2026-01-01 24:00",
        "soon",
    ] {
        let text = review_after(
            ConsolePage::Rollouts,
            &[("set/rollouts/autumn/start_ms", time)],
        );
        assert!(text.contains("expected a time in UTC"), "{time}");
    }
}

#[test]
fn validation_errors_are_shown_at_their_fields_and_block_apply_and_download() {
    let texts = [
        ("set/rollouts/autumn/to", "newer"),
        ("set/rollouts/autumn/steps/0/share", "2"),
    ];
    let review = review_after(ConsolePage::Rollouts, &texts);
    assert!(review.contains(r#"value="apply" disabled"#));
    let page = press(&review, "show/rollouts");
    let field = |name: &str| {
        page.split(name)
            .nth(1)
            .unwrap()
            .split("</label>")
            .next()
            .unwrap()
    };
    let to = field(r#"name="set/rollouts/autumn/to""#);
    assert!(
        to.contains("expected a version that a target of the service runs"),
        "{to}"
    );
    let share = field(r#"name="set/rollouts/autumn/steps/0/share""#);
    assert!(share.contains("expected a share"), "{share}");
    for action in ["apply", "download"] {
        let reply = answer(&form_of(&review, action));
        assert!(matches!(reply, ConsoleReply::Page(_)), "{action}");
    }
}

#[test]
fn entries_steps_and_limits_can_be_added_and_removed() {
    let page = show_page(&example_state(), ConsolePage::Domains);
    let form = with_texts(form_of(&page, "add/domains"), &[("new", "east")]);
    let page = press(&page_of(answer(&form)), "show/targets");
    let page = press(&page, "service-limits/t-2");
    let page = press(&page, "own-limits/t-1");
    let page = press(&page, "show/rollouts");
    let page = press(&page, "add-step/autumn");
    let page = press(&page, "remove-step/autumn/2");
    let page = press(&page, "remove/rollouts/autumn");
    let (document, _) = document_to_apply(answer(&form_of(&page, "apply")));
    let mut expected = example_document();
    expected.domains.insert("east".into(), Default::default());
    let limits = expected.targets["t-2"].limits.take();
    expected.targets["t-1"].limits = limits;
    expected.rollouts.clear();
    assert_eq!(document, expected);
}

#[test]
fn unusable_names_of_new_entries_are_refused() {
    for (name, message) in [
        ("north", "not in use"),
        ("a/b", "without slashes"),
        ("", "a name"),
    ] {
        let page = show_page(&example_state(), ConsolePage::Domains);
        let form = with_texts(form_of(&page, "add/domains"), &[("new", name)]);
        let page = page_of(answer(&form));
        assert!(page.contains(message), "{name}");
        let (document, _) = document_to_apply(answer(&form_of(&page, "apply")));
        assert_eq!(document, example_document());
    }
}

#[test]
fn a_domain_is_drained_and_returned_with_one_button() {
    let mut state = example_state();
    let page = show_page(&state, ConsolePage::Serving);
    let form = form_of(&page, "drain/domains/north");
    let (document, base) = document_to_apply(answer_form(&state, &form, example_time()));
    assert_eq!(base, 7);
    assert_eq!(document.domains["north"].state, ServingState::Drained);
    state.document = ConfigurationDocument {
        revision: 8,
        ..document
    };
    let page = show_outcome(&state, &form, &ConsoleOutcome::Accepted(8));
    assert!(page.contains("Revision 8 is accepted."));
    let form = form_of(&page, "return/domains/north");
    let (document, base) = document_to_apply(answer_form(&state, &form, example_time()));
    assert_eq!(base, 8);
    assert_eq!(document.domains["north"].state, ServingState::Active);
}

#[test]
fn a_drain_keeps_the_draft_and_is_included_in_it() {
    let mut state = example_state();
    let page = show_page(&state, ConsolePage::Services);
    let texts = [("set/services/catalog/queue_limit", "9")];
    let form = with_texts(form_of(&page, "show/serving"), &texts);
    let form = form_of(&page_of(answer(&form)), "drain/targets/t-1");
    let (document, _) = document_to_apply(answer(&form));
    assert_eq!(document.services["catalog"].queue_limit, 8);
    state.document = ConfigurationDocument {
        revision: 8,
        ..document
    };
    let page = show_outcome(&state, &form, &ConsoleOutcome::Accepted(8));
    let reply = answer_form(&state, &form_of(&page, "apply"), example_time());
    let (document, base) = document_to_apply(reply);
    assert_eq!(base, 8);
    assert_eq!(document.services["catalog"].queue_limit, 9);
    assert_eq!(document.targets["t-1"].state, ServingState::Drained);
}

#[test]
fn a_drain_from_an_outdated_page_is_refused() {
    let page = show_page(&example_state(), ConsolePage::Serving);
    let mut state = example_state();
    state.document.revision = 8;
    let form = form_of(&page, "drain/domains/north");
    let text = page_of(answer_form(&state, &form, example_time()));
    assert!(text.contains("Nothing was changed"));
    assert!(text.contains(r#"name="base" value="7""#));
}

#[test]
fn a_conflict_shows_the_differences_and_keeps_the_draft() {
    let page = show_page(&example_state(), ConsolePage::Services);
    let texts = [("set/services/catalog/queue_limit", "9")];
    let form = with_texts(form_of(&page, "apply"), &texts);
    let mut state = example_state();
    state.document.revision = 8;
    state.document.domains["south"].state = ServingState::Drained;
    let outcome = ConsoleOutcome::Conflict {
        revision: 8,
        differences: vec!["services.catalog.queue_limit: 8 becomes 9".into()],
    };
    let text = show_outcome(&state, &form, &outcome);
    assert!(text.contains("revision 8 is in force"));
    assert!(text.contains("services.catalog.queue_limit: 8 becomes 9"));
    let reply = answer_form(&state, &form_of(&text, "show/review"), example_time());
    let review = page_of(reply);
    assert!(review.contains("begun on revision 7"));
    assert!(review.contains("domains.south.state: &quot;drained&quot; becomes"));
    let reply = answer_form(&state, &form_of(&review, "apply"), example_time());
    assert_eq!(
        document_to_apply(reply).1,
        7,
        "the base revision changes only when the operator asks for it"
    );
    let rebased = answer_form(&state, &form_of(&review, "rebase"), example_time());
    let reply = answer_form(&state, &form_of(&page_of(rebased), "apply"), example_time());
    assert_eq!(document_to_apply(reply).1, 8);
}

#[test]
fn an_unknown_outcome_is_shown_as_unknown() {
    let page = show_page(&example_state(), ConsolePage::Review);
    let form = form_of(&page, "apply");
    for (may_be_applied, message) in [(true, "It is not known"), (false, "Not applied")] {
        let outcome = ConsoleOutcome::Unavailable {
            message: "no answer".into(),
            may_be_applied,
        };
        assert!(show_outcome(&example_state(), &form, &outcome).contains(message));
    }
}

#[test]
fn names_are_escaped_in_html() {
    let page = show_page(&example_state(), ConsolePage::Domains);
    let name = "<script>alert(1)<\u{2f}script>".replace('/', "");
    let form = with_texts(form_of(&page, "add/domains"), &[("new", &name)]);
    let page = page_of(answer(&form));
    assert!(!page.contains("<script"));
    assert!(page.contains("&lt;script&gt;"));
}

#[test]
fn pages_load_no_other_resources() {
    for page in ConsolePage::ALL {
        let text = show_page(&example_state(), page);
        for forbidden in [
            "<script", "http://", "https://", "<link", "<img", "@import", "url(",
        ] {
            assert!(!text.contains(forbidden), "{page:?}: {forbidden}");
        }
    }
}
