//! Reading, validation and comparison of configuration documents: all errors of a document are
//! reported in one call, each with its line and field.

use nutmegspread_model::{
    ConfigurationDocument, apply_changes, diff_documents, parse_document, read_json_with_comments,
};
use std::fmt::Write;

/// A valid document, which the tests change.
const GOOD: &str = r#"{
  // A small deployment.
  "domains": { "nw-1": {}, "nw-2": { "state": "drained" } },
  "services": {
    "counter-desk": { "version": "1", "limits": { "slots": 2, "connections": 25 } },
  },
  "targets": {
    "c-1": { "service": "counter-desk", "domain": "nw-1", "version": "1", "address": "127.0.0.1:9001" },
    "c-2": { "service": "counter-desk", "domain": "nw-2", "version": "2", "address": "127.0.0.1:9002" },
  },
  "rollouts": {
    "move": {
      "service": "counter-desk", "from": "1", "to": "2",
      "start_ms": 1000, "finish_by_ms": 100000, "hold_ms": 1000,
      "steps": [
        { "share": 0.01, "minimum_duration_ms": 1000, "minimum_samples": 10 },
        { "share": 1, "minimum_duration_ms": 1000, "minimum_samples": 10 },
      ],
    },
  },
}"#;

/// Returns the errors of a document, one per line, or `no fault`.
fn faults(text: &str) -> String {
    let mut listing = String::new();
    match parse_document("fleet.json", text) {
        Ok(_) => listing.push_str("no fault\n"),
        Err(errors) => {
            for error in errors {
                writeln!(listing, "{error}").unwrap();
            }
        }
    }
    listing
}

#[test]
fn a_valid_document_with_comments_is_read() {
    assert_eq!(faults(GOOD), "no fault\n");
}

#[test]
fn every_wrong_type_and_unknown_field_is_reported_in_one_run() {
    let text = GOOD
        .replace("\"slots\": 2", "\"slots\": \"two\"")
        .replace("\"state\": \"drained\"", "\"state\": \"gone\"")
        .replace("\"hold_ms\": 1000", "\"hold_ms\": -5, \"pause\": 3")
        .replace("\"share\": 1,", "\"share\": 1, \"share\": 1,");
    insta::assert_snapshot!(faults(&text));
}

#[test]
fn every_wrong_value_and_reference_is_reported_in_one_run() {
    let text = GOOD
        .replace("\"slots\": 2", "\"slots\": 0")
        .replace("\"domain\": \"nw-1\"", "\"domain\": \"nw-9\"")
        .replace("127.0.0.1:9002", "127.0.0.1:9001")
        .replace("\"to\": \"2\"", "\"to\": \"3\"")
        .replace("\"finish_by_ms\": 100000", "\"finish_by_ms\": 2000")
        .replace("\"share\": 1,", "\"share\": 0.005,");
    insta::assert_snapshot!(faults(&text));
}

#[test]
fn limits_and_policies_are_checked() {
    let text = r#"{
  "domains": { "a": {} },
  "services": { "s": {
    "version": "1", "routes": ["x", "x", ""],
    "coverage": { "soft_deadline_ms": 20, "hard_deadline_ms": 10, "minimum_coverage": 1.5 },
    "budget": { "extra_fraction": -0.1, "hedge_quantile": 2 },
    "limits": { "slots": 3, "connections": 2, "cold_slots": 4, "warm_after": 0 }
  } },
  "targets": {
    "t/1": { "service": "s", "domain": "a", "version": "2", "address": "example.org:1" },
    "t2": { "service": "s", "domain": "a", "version": "2", "address": "0.0.0.0:1" }
  },
  "rollouts": {
    "r1": { "service": "s", "from": "2", "to": "2", "start_ms": 5, "finish_by_ms": 1, "steps": [] },
    "r2": { "service": "s", "from": "2", "to": "1", "start_ms": 0, "finish_by_ms": 1, "steps": [{}] }
  }
}"#;
    insta::assert_snapshot!(faults(text));
}

#[test]
fn rollouts_of_one_service_may_not_overlap() {
    let second = r#""again": { "service": "counter-desk", "from": "2", "to": "1",
      "start_ms": 99999, "finish_by_ms": 200000, "hold_ms": 1, "steps": [{"share": 1}] },
    "move": {"#;
    insta::assert_snapshot!(faults(&GOOD.replace("\"move\": {", second)));
    let later = second.replace("99999", "100000");
    assert_eq!(faults(&GOOD.replace("\"move\": {", &later)), "no fault\n");
}

#[test]
fn a_syntax_error_is_reported_with_its_line() {
    insta::assert_snapshot!(faults("{\n  \"domains\": {\n    \"a\" {}\n  }\n}"));
    insta::assert_snapshot!(faults("// nothing"));
}

#[test]
fn errors_in_other_types_are_reported_with_their_lines() {
    let result = read_json_with_comments::<Vec<u16>>("ports.json", "[1, // one\n 70000,\n \"x\"]");
    let errors: Vec<String> = result
        .unwrap_err()
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn changes_turn_one_document_into_the_other() {
    let before = parse_document("a", GOOD).unwrap();
    let changed = GOOD
        .replace(
            "\"nw-1\": {}",
            "\"nw-1\": { \"state\": \"drained\" }, \"nw-3\": {}",
        )
        .replace("\"share\": 0.01", "\"share\": 0.02");
    let mut after = parse_document("b", &changed).unwrap();
    after.targets.shift_remove("c-1");
    after.revision = 7;
    let changes = diff_documents(&before, &after);
    let mut listing = String::new();
    for change in &changes {
        let name = change.path.join("/");
        writeln!(
            listing,
            "{name}: {:?}",
            change.to.as_ref().map(ToString::to_string)
        )
        .unwrap();
    }
    insta::assert_snapshot!(listing);
    assert_eq!(apply_changes(&before, &changes).unwrap(), after);
    assert!(apply_changes(&ConfigurationDocument::default(), &changes).is_err());
    assert!(diff_documents(&after, &after).is_empty());
}
