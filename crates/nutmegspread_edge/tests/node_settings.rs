//! Parsing of settings files and rejection of invalid ones.

use nutmegspread_edge::NodeSettings;

const EXAMPLE: &str = include_str!("../../../examples/edge-1.jsonc");

#[test]
fn the_example_is_valid_and_has_every_field() {
    let settings = NodeSettings::parse(EXAMPLE).expect("the example is valid");
    assert_eq!((settings.history_s, settings.exposure_slack), (20.0, 50.0));
    let shown = format!("{settings:?}");
    let fields = shown
        .split([' ', '{'])
        .filter_map(|word| word.strip_suffix(':'))
        .filter(|word| {
            word.chars()
                .all(|letter| letter.is_lowercase() || letter == '_')
        });
    for field in fields {
        assert!(
            EXAMPLE.contains(&format!("\"{field}\"")),
            "the example lacks {field}"
        );
    }
}

#[test]
fn one_error_lists_every_invalid_value() {
    let wrong = EXAMPLE
        .replace("\"cores\": 0.25", "\"cores\": 0")
        .replace("\"cold_slack\": 5", "\"cold_slack\": -5")
        .replace("\"stop_grace_s\": 6", "\"stop_grace_s\": -1");
    let errors = NodeSettings::parse(&wrong).expect_err("three values are invalid");
    insta::assert_snapshot!(
        errors.replace("; ", "\n"),
        @r#"
    field "cores" must be above 0, but is 0
    field "stop_grace_s" must be above 0, but is -1
    field "cold_slack" must not be negative, but is -5
    "#
    );
}

#[test]
fn an_unknown_field_is_rejected_by_name() {
    let wrong = EXAMPLE.replace("\"cores\"", "\"kernels\"");
    let error = NodeSettings::parse(&wrong).expect_err("a field is unknown");
    assert!(error.contains("kernels"), "{error}");
}
