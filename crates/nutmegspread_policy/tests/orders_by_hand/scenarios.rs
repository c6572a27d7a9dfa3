//! Scripted failures of orders. The expected output shows the calls and answers of each process.

use crate::order_bench::{CallOutcome, JournalBench};
use datadriven::TestCase;
use nutmegspread_policy::order::{JournalAction, OrderVerdict};
use std::fmt::Write;
use std::time::Duration;

#[test]
fn order_scenarios_produce_the_expected_output() {
    datadriven::walk("tests/scenarios/order", |file| {
        let mut bench = JournalBench::default();
        file.run(|case| run_case(&mut bench, case));
    });
}

fn run_case(bench: &mut JournalBench, case: &mut TestCase) -> String {
    let node: String = case.take_arg("node").unwrap_or_default();
    match case.directive.as_str() {
        "start" => bench.start_node(&node),
        "submit" => submit(bench, &node, case),
        "call" => {
            let outcome = parse_outcome(&case.take_arg::<String>("fate").unwrap_or_default());
            if !bench.complete_call(&node, outcome) {
                return "no call\n".into();
            }
        }
        "land-late" => {
            let applied = bench.apply_late_writes();
            return format!("{applied} took effect\n{}", describe(bench));
        }
        "target" => {
            let end: String = case
                .take_arg("end")
                .expect("the directive `target` needs the argument `end`");
            if !bench.end_dispatch(&node, &end) {
                return "no dispatch\n".into();
            }
        }
        "wait" => bench.wait(Duration::from_millis(
            case.take_arg("ms")
                .expect("the directive `wait` needs the argument `ms`"),
        )),
        other => panic!("unknown directive `{other}`"),
    }
    case.expect_empty()
        .expect("the directive has an unknown argument");
    describe(bench)
}

fn submit(bench: &mut JournalBench, node: &str, case: &mut TestCase) {
    let key: String = case
        .take_arg("key")
        .expect("the directive `submit` needs the argument `key`");
    let body: String = case.take_arg("body").unwrap_or_else(|_| "urn".into());
    let age = Duration::from_secs(case.take_arg("age-s").unwrap_or(0));
    let caller_timeout = Duration::from_millis(case.take_arg("patience-ms").unwrap_or(5000));
    bench.submit(node, &key, &body, age, caller_timeout);
}

fn parse_outcome(text: &str) -> CallOutcome {
    match text {
        "" => CallOutcome::Answered,
        "answer-lost" => CallOutcome::AnswerLost,
        "request-lost" => CallOutcome::RequestLost,
        "late" => CallOutcome::Late,
        other => panic!("unknown outcome of a call: `{other}`"),
    }
}

/// Lists the answers since the last directive, the open calls and attempts of each process, the
/// stored document and the executions.
fn describe(bench: &mut JournalBench) -> String {
    let mut text = String::new();
    for (submission, verdict) in bench.answers.drain(..) {
        writeln!(text, "answer {submission}: {}", describe_verdict(&verdict)).unwrap();
    }
    for (name, node) in &bench.nodes {
        for action in node.calls.iter().chain(&node.dispatches) {
            writeln!(text, "{name} asks: {}", describe_action(action)).unwrap();
        }
    }
    if let Some(stored) = &bench.stored {
        write!(text, "stored {}:", stored.version).unwrap();
        for (key, entry) in &stored.document.entries {
            write!(text, " {key} by {} {:?};", entry.claim.token, entry.outcome).unwrap();
        }
        writeln!(text).unwrap();
    }
    if !bench.executions.is_empty() {
        writeln!(text, "executions {:?}", bench.executions).unwrap();
    }
    text
}

fn describe_verdict(verdict: &OrderVerdict) -> String {
    match verdict {
        OrderVerdict::Ran { result, repeated } => format!("ran {result}, repeated {repeated}"),
        OrderVerdict::Refused { reason, run, .. } => format!("refused {reason:?} {run:?}"),
    }
}

fn describe_action(action: &JournalAction) -> String {
    match action {
        JournalAction::Read { .. } => "read".into(),
        JournalAction::Write { base, document, .. } => {
            let keys: Vec<&str> = document.entries.keys().map(|key| &**key).collect();
            format!("replace {base} with {}", keys.join(" "))
        }
        JournalAction::Dispatch { key, .. } => format!("dispatch {key}"),
        JournalAction::Answer { .. } => "answer".into(),
    }
}
