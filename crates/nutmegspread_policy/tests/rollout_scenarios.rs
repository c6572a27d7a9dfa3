//! Runs scripts of rollouts with faults, and compares the states of the nodes and the store with
//! the expected output.

mod rollout_bench;

use datadriven::TestCase;
use nutmegspread_model::RolloutState;
use nutmegspread_policy::rollout::RolloutStatement;
use rollout_bench::{FleetSettings, NodePause, RolloutFleet, VersionFault};
use std::fmt::Write;
use std::time::Duration;

#[test]
fn scenarios_give_their_results() {
    datadriven::walk("tests/scenarios/rollout", |file| {
        let mut fleet = None;
        file.run(|case| run_case(&mut fleet, case));
    });
}

fn run_case(fleet: &mut Option<RolloutFleet>, case: &mut TestCase) -> String {
    if case.directive == "fleet" {
        *fleet = Some(RolloutFleet::new(parse_settings(case)));
        return String::new();
    }
    let fleet = fleet
        .as_mut()
        .expect("a script must begin with the directive `fleet`");
    let result = match case.directive.as_str() {
        "run" => run(fleet, case),
        "store-down" => store_down(fleet, case),
        "pause" => pause(fleet, case),
        "restart" => restart(fleet, case),
        "statements" => statements(fleet),
        "record" => record(fleet),
        other => panic!("unknown directive `{other}`"),
    };
    case.expect_empty()
        .expect("the directive has an unknown argument");
    result
}

fn parse_settings(case: &mut TestCase) -> FleetSettings {
    let example = FleetSettings::default();
    let fault: Option<String> = case.try_take_arg("fault").unwrap();
    FleetSettings {
        seed: case.take_arg("seed").unwrap(),
        nodes: case.try_take_arg("nodes").unwrap().unwrap_or(example.nodes),
        fault: fault.map_or(VersionFault::None, |fault| parse_fault(&fault)),
        end: Duration::MAX,
        ..example
    }
}

fn parse_fault(text: &str) -> VersionFault {
    match text.split_once('-') {
        None if text == "at-once" => VersionFault::FailsAtOnce,
        Some(("late", second)) => VersionFault::FailsLate(second.parse().unwrap()),
        Some(("route", route)) => VersionFault::FailsOnRoute(route.parse().unwrap()),
        Some(("load", share)) => VersionFault::FailsUnderLoad(share.parse().unwrap()),
        _ => panic!("unknown fault `{text}`"),
    }
}

fn run(fleet: &mut RolloutFleet, case: &mut TestCase) -> String {
    fleet.run_until(Duration::from_secs(case.take_arg("until").unwrap()));
    String::new()
}

fn store_down(fleet: &mut RolloutFleet, case: &mut TestCase) -> String {
    let from = case.take_arg("from").unwrap();
    fleet.settings_mut().store.outage = Some(from..case.take_arg("until").unwrap());
    String::new()
}

fn pause(fleet: &mut RolloutFleet, case: &mut TestCase) -> String {
    let from = case.take_arg("from").unwrap();
    let pause = NodePause {
        node: case.take_arg("node").unwrap(),
        seconds: from..case.take_arg("until").unwrap(),
    };
    fleet.settings_mut().pauses.push(pause);
    String::new()
}

fn restart(fleet: &mut RolloutFleet, case: &mut TestCase) -> String {
    let nodes: Vec<usize> = case.take_args("nodes").unwrap();
    for node in nodes {
        fleet.restart(node);
    }
    String::new()
}

fn statements(fleet: &RolloutFleet) -> String {
    let mut text = String::new();
    for node in 0..fleet.node_count() {
        let statement = fleet.node(node).statement(fleet.wall(node));
        writeln!(text, "node-{node} {}", describe(&statement)).unwrap();
    }
    text
}

fn describe(statement: &RolloutStatement) -> String {
    let brake = statement.brake.as_ref();
    let brake = brake.map_or(String::new(), |brake| format!(" brake: {brake}"));
    let reason = statement.reason.as_ref();
    let reason = reason.map_or(String::new(), |reason| format!(" reason: {reason}"));
    format!(
        "{} step {}/{} share {:.3}{brake}{reason}",
        statement.state, statement.step, statement.step_count, statement.share
    )
}

fn record(fleet: &RolloutFleet) -> String {
    let mut text = String::new();
    for (record, _) in &fleet.store().history {
        let state = match &record.state {
            RolloutState::Running => "running",
            RolloutState::Finished => "finished",
            RolloutState::Done { .. } => "done",
            RolloutState::TakenBack { .. } => "taken back",
        };
        writeln!(
            text,
            "{state} step {} by {}",
            record.step, record.coordinator
        )
        .unwrap();
    }
    text
}
