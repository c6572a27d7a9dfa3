//! Scripted fleet scenarios: commands, and the expected state of every node after them.

mod support;

use datadriven::TestCase;
use nutmegspread_model::TargetLimits;
use nutmegspread_policy::fleet::{FleetInput, FleetSettings};
use std::fmt::Write;
use std::time::Duration;
use support::{FleetNetwork, LoadLedger};

const TARGETS: [&str; 8] = ["t-1", "t-2", "t-3", "t-4", "t-5", "t-6", "t-7", "t-8"];

/// A simulated fleet, and the highest sum of slots that it may have used in the last run.
struct Scenario {
    network: FleetNetwork,
    ledgers: Vec<LoadLedger>,
    limits: TargetLimits,
    peak: u32,
}

impl Scenario {
    fn new(size: usize, seed: u64) -> Self {
        Self {
            network: FleetNetwork::new(size, FleetSettings::default(), seed),
            ledgers: TARGETS.iter().map(|_| LoadLedger::default()).collect(),
            limits: TargetLimits {
                slots: 5,
                ..Default::default()
            },
            peak: 0,
        }
    }

    fn run(&mut self, duration: Duration) -> String {
        let (ledgers, limits, peak) = (&mut self.ledgers, &self.limits, &mut self.peak);
        *peak = 0;
        self.network.run_for(duration, |network| {
            for (target, ledger) in TARGETS.iter().zip(ledgers.iter_mut()) {
                *peak = (*peak).max(ledger.sum(network, target, limits).0);
            }
        });
        format!(
            "highest sum over nodes: {} of {} slots\n",
            self.peak, self.limits.slots
        )
    }

    fn show(&self) -> String {
        let mut text = String::new();
        for (index, node) in self.network.nodes.iter().enumerate() {
            let Some(policy) = &node.policy else {
                writeln!(text, "node-{index}: stopped").unwrap();
                continue;
            };
            let view = policy.view();
            let members = view.nodes.iter().filter(|node| node.member);
            let members: Vec<&str> = members.map(|node| &node.node[5..]).collect();
            let slots: u32 = TARGETS
                .iter()
                .map(|target| self.network.share(index, target, &self.limits).slots)
                .sum();
            let settled = if view.settled { "settled" } else { "unsettled" };
            let refusal = policy
                .refuse_work()
                .map_or("takes work".into(), |r| format!("{r:?}"));
            writeln!(
                text,
                "node-{index}: {settled}, members {}, {slots} slots, {refusal}",
                members.join(",")
            )
            .unwrap();
        }
        text
    }
}

fn nodes(case: &mut TestCase, name: &str) -> Vec<usize> {
    case.take_args(name)
        .unwrap_or_else(|error| panic!("{error:?}"))
}

fn cut(network: &mut FleetNetwork, from: &[usize], to: &[usize]) {
    let links = from
        .iter()
        .flat_map(|from| to.iter().map(move |to| (*from, *to)));
    network
        .faults
        .cuts
        .extend(links.filter(|(from, to)| from != to));
}

fn command(scenario: &mut Option<Scenario>, case: &mut TestCase) -> String {
    if case.directive == "start" {
        let size = case.take_arg("size").unwrap();
        *scenario = Some(Scenario::new(size, case.take_arg("seed").unwrap()));
        return "started\n".to_owned();
    }
    let scenario = scenario
        .as_mut()
        .expect("a script must begin with the command `start`");
    let network = &mut scenario.network;
    match case.directive.as_str() {
        "run" => {
            let seconds: f64 = case.take_arg("seconds").unwrap();
            return scenario.run(Duration::from_secs_f64(seconds));
        }
        "show" => return scenario.show(),
        "cut" => {
            let (from, to) = (nodes(case, "from"), nodes(case, "to"));
            cut(network, &from, &to);
        }
        "isolate" => {
            let side = nodes(case, "nodes");
            let others: Vec<usize> = (0..network.nodes.len())
                .filter(|node| !side.contains(node))
                .collect();
            cut(network, &side, &others);
            cut(network, &others, &side);
        }
        "heal" => network.faults.cuts.clear(),
        "lose" => network.faults.loss = case.take_arg("fraction").unwrap(),
        "delay" => {
            let millis = case.take_arg("millis").unwrap();
            network.faults.longest_delay = Duration::from_millis(millis);
        }
        "pause" => {
            let seconds: f64 = case.take_arg("seconds").unwrap();
            for node in nodes(case, "nodes") {
                network.pause(node, Duration::from_secs_f64(seconds));
            }
        }
        "restart" => nodes(case, "nodes")
            .into_iter()
            .for_each(|node| network.start(node)),
        "stop" => nodes(case, "nodes")
            .into_iter()
            .for_each(|node| network.stop(node)),
        "unlist" => {
            nodes(case, "nodes")
                .into_iter()
                .for_each(|node| network.listed[node] = false);
        }
        "leave" => {
            for node in nodes(case, "nodes") {
                network.input(node, FleetInput::Leave);
            }
        }
        "platform" => network.platform_down = case.take_flag("down").unwrap(),
        other => panic!("unknown command {other:?}"),
    }
    "done\n".to_owned()
}

#[test]
fn scenarios_end_as_recorded() {
    datadriven::walk("tests/scenarios/fleet", |file| {
        let mut scenario = None;
        file.run(|case| command(&mut scenario, &mut case.clone()));
    });
}
