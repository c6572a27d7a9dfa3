//! Scripts of named order failures, with what each process asks for and says.

use crate::order_bench::{CallFate, JournalBench};
use datadriven::TestCase;
use nutmegspread_policy::order::{JournalAction, OrderVerdict};
use std::fmt::Write;
use std::time::Duration;

#[test]
fn scenarios_give_their_results() {
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
            let fate = parse_fate(&case.take_arg::<String>("fate").unwrap_or_default());
            if !bench.move_call(&node, fate) {
                return "no call\n".into();
            }
        }
        "land-late" => {
            let landed = bench.land_late();
            return format!("{landed} took effect\n{}", describe(bench));
        }
        "target" => {
            let end: String = case.take_arg("end").expect("an end");
            if !bench.end_dispatch(&node, &end) {
                return "no dispatch\n".into();
            }
        }
        "wait" => bench.wait(Duration::from_millis(case.take_arg("ms").expect("a time"))),
        other => panic!("unknown directive `{other}`"),
    }
    case.expect_empty().expect("an argument is unknown");
    describe(bench)
}

fn submit(bench: &mut JournalBench, node: &str, case: &mut TestCase) {
    let key: String = case.take_arg("key").expect("a key");
    let body: String = case.take_arg("body").unwrap_or_else(|_| "urn".into());
    let age = Duration::from_secs(case.take_arg("age-s").unwrap_or(0));
    let patience = Duration::from_millis(case.take_arg("patience-ms").unwrap_or(5000));
    bench.submit(node, &key, &body, age, patience);
}

fn parse_fate(text: &str) -> CallFate {
    match text {
        "" => CallFate::Answered,
        "answer-lost" => CallFate::AnswerLost,
        "request-lost" => CallFate::RequestLost,
        "late" => CallFate::Late,
        other => panic!("unknown fate `{other}`"),
    }
}

/// Answers since the last line, what each process waits for, the stored state, the executions.
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
