//! Tests that the shares of a target in use on all nodes together never exceed the target's limits,
//! even while the nodes have different views of the fleet.
//!
//! The histories are generated from fixed seeds. The sum includes work that may still run after its
//! node has given up the share or has been stopped.

mod support;

use nutmegspread_model::{TargetLimits, TargetSettings};
use nutmegspread_policy::fleet::{FleetInput, FleetSettings, divide_limits};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use support::{FleetNetwork, LoadLedger};

const HISTORIES: u64 = 30;
const STEPS: usize = 14;
const TARGETS: [&str; 3] = ["c-1", "c-2", "jobbook-7"];

/// A fault or change applied to the network; nodes are given by index, times in milliseconds.
#[derive(Clone, Debug)]
enum Step {
    CutOneWay(usize, usize),
    CutOutbound(usize, Vec<usize>),
    Partition(Vec<usize>),
    Heal,
    Lossy(f64, u64),
    Pause(usize, u64),
    Restart(usize),
    Stop(usize),
    Remove(usize),
    Add(usize),
    Leave(usize),
    Platform(bool),
    Wait(u64),
}

fn generate_step(rng: &mut SmallRng, size: usize) -> Step {
    let node = rng.random_range(0..size);
    match rng.random_range(0..24) {
        0..2 => Step::CutOneWay(node, rng.random_range(0..size)),
        2 => Step::CutOutbound(node, (0..size).filter(|_| rng.random_bool(0.6)).collect()),
        3..7 => Step::Partition((0..size).filter(|_| rng.random_bool(0.4)).collect()),
        7..10 => Step::Heal,
        10..12 => Step::Lossy(rng.random_range(0.0..0.4), rng.random_range(1..1500)),
        12..15 => Step::Pause(node, rng.random_range(200..9000)),
        15..17 => Step::Restart(node),
        17 => Step::Stop(node),
        18..20 => Step::Remove(node),
        20..22 => Step::Add(node),
        22 => Step::Leave(node),
        _ => Step::Platform(rng.random_bool(0.5)),
    }
}

fn generate_history(rng: &mut SmallRng, size: usize) -> Vec<Step> {
    let mut history = vec![Step::Wait(8000)];
    for _ in 0..STEPS {
        history.push(generate_step(rng, size));
        let longest_wait = if rng.random_bool(0.2) { 40_000 } else { 9000 };
        history.push(Step::Wait(rng.random_range(50..longest_wait)));
    }
    history
}

fn apply(network: &mut FleetNetwork, step: &Step) {
    match step {
        Step::CutOneWay(from, to) => network.faults.cuts.push((*from, *to)),
        Step::CutOutbound(from, others) => {
            let directions = others.iter().map(|to| (*from, *to));
            network.faults.cuts.extend(directions);
        }
        Step::Partition(side) => {
            let others = (0..network.nodes.len()).filter(|node| !side.contains(node));
            for other in others {
                network
                    .faults
                    .cuts
                    .extend(side.iter().map(|node| (*node, other)));
                network
                    .faults
                    .cuts
                    .extend(side.iter().map(|node| (other, *node)));
            }
        }
        Step::Heal => network.faults.cuts.clear(),
        Step::Lossy(loss, delay) => {
            network.faults.loss = *loss;
            network.faults.duplicates = loss / 2.0;
            network.faults.longest_delay = Duration::from_millis(*delay);
        }
        Step::Pause(node, millis) => network.pause(*node, Duration::from_millis(*millis)),
        Step::Restart(node) => {
            if network.listed[*node] {
                network.start(*node);
            }
        }
        Step::Stop(node) => network.stop(*node),
        Step::Remove(node) => {
            network.stop(*node);
            network.listed[*node] = false;
        }
        Step::Add(node) => {
            network.listed[*node] = true;
            network.start(*node);
        }
        Step::Leave(node) => network.input(*node, FleetInput::Leave),
        Step::Platform(down) => network.platform_down = *down,
        Step::Wait(_) => {}
    }
}

#[derive(Default)]
struct HistoryResult {
    checks: usize,
    /// Number of checks that found all slots of the target in use.
    full_checks: usize,
    /// Version of the stored roster at the end.
    last_version: u64,
}

fn run_history(seed: u64, size: usize, spare: usize) -> HistoryResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let history = generate_history(&mut rng, size);
    let mut network = FleetNetwork::stopped(size, FleetSettings::default(), seed);
    let initial: Vec<usize> = (0..size - spare).collect();
    network.stored = network.roster(1, &initial);
    (size - spare..size).for_each(|node| network.listed[node] = false);
    initial.into_iter().for_each(|node| network.start(node));
    let limits = TargetLimits {
        slots: 5,
        connections: 25,
        ..Default::default()
    };
    let mut ledger = LoadLedger::default();
    let mut result = HistoryResult::default();
    for (position, step) in history.iter().enumerate() {
        apply(&mut network, step);
        let millis = if let Step::Wait(millis) = step {
            *millis
        } else {
            1
        };
        network.run_for(Duration::from_millis(millis), |network| {
            for target in TARGETS {
                let (slots, connections, leaders) = ledger.sum(network, target, &limits);
                result.checks += 1;
                result.full_checks += usize::from(slots == limits.slots);
                assert!(
                    slots <= limits.slots && connections <= limits.connections && leaders <= 1,
                    "seed {seed}, size {size}, {target} at {:?}, step {position}: {slots} slots, \
                     {connections} connections, {leaders} leaders\n{history:#?}",
                    network.now,
                );
            }
        });
    }
    result.last_version = network.stored.version;
    result
}

fn run_histories(size: usize, spare: usize, seeds: std::ops::Range<u64>) {
    let (mut checks, mut full, mut changes) = (0, 0, 0);
    for seed in seeds {
        let result = run_history(seed, size, spare);
        checks += result.checks;
        full += result.full_checks;
        changes += result.last_version - 1;
    }
    println!(
        "size {size}: {checks} checks, {full} with all slots in use, {changes} roster changes"
    );
    assert!(
        full * 5 > checks,
        "all slots were in use in only {full} of {checks} checks"
    );
    assert!(changes > 0, "no history changed the roster");
}

#[test]
fn seven_nodes_never_exceed_a_limit() {
    run_histories(7, 0, 0..HISTORIES);
}

#[test]
fn changing_rosters_never_exceed_a_limit() {
    run_histories(9, 4, 1000..1000 + HISTORIES);
}

#[test]
fn small_rosters_never_exceed_a_limit() {
    for size in 2..5 {
        run_histories(size, 1, 2000..2000 + HISTORIES / 3);
    }
}

/// Runs the network and checks 30 targets, so that every pair of nodes owns one of them.
fn check_for(network: &mut FleetNetwork, duration: Duration) {
    let limits = TargetLimits {
        slots: 5,
        connections: 25,
        ..Default::default()
    };
    let targets: Vec<String> = (0..30).map(|target| format!("target-{target}")).collect();
    let mut ledgers: Vec<LoadLedger> = targets.iter().map(|_| LoadLedger::default()).collect();
    network.run_for(duration, |network| {
        for (target, ledger) in targets.iter().zip(&mut ledgers) {
            let (slots, connections, leaders) = ledger.sum(network, target, &limits);
            assert!(
                slots <= 5 && connections <= 25 && leaders <= 1,
                "{target} at {:?}: {slots} slots, {connections} connections, {leaders} leaders",
                network.now
            );
        }
    });
}

#[test]
fn views_that_stay_different_never_exceed_a_limit() {
    let mut network = FleetNetwork::new(7, FleetSettings::default(), 8);
    network.run_for(Duration::from_secs(10), |_| {});
    assert_eq!(network.settled().len(), 7);
    network.stop(6);
    network.faults.cuts = vec![(5, 2), (5, 3), (5, 4)];
    network.run_for(Duration::from_secs(5), |_| {});
    network.start(2);
    check_for(&mut network, Duration::from_secs(20));
    let digests = [0, 2, 5].map(|index| network.policy(index).view().digest);
    assert!(
        digests.iter().any(|digest| *digest != digests[0]),
        "all nodes have the same view"
    );
}

#[test]
fn a_node_received_only_by_a_minority_gives_up_its_shares() {
    let mut network = FleetNetwork::new(7, FleetSettings::default(), 9);
    network.run_for(Duration::from_secs(10), |_| {});
    network.faults.cuts = vec![(5, 0), (5, 1), (5, 2), (5, 3)];
    check_for(&mut network, Duration::from_secs(20));
    assert_eq!(network.settled(), [0, 1, 2, 3, 4, 6]);
}

#[test]
fn a_new_roster_waits_for_a_majority_of_the_old_one() {
    let mut network = FleetNetwork::stopped(7, FleetSettings::default(), 8);
    network.stored = network.roster(1, &[0, 1, 2]);
    (0..3).for_each(|index| network.start(index));
    network.run_for(Duration::from_secs(10), |_| {});
    assert_eq!(network.settled(), [0, 1, 2]);
    network.platform_cuts = vec![0, 1, 2];
    network.stored = network.roster(2, &[0, 1, 2, 3, 4, 5, 6]);
    let directions = (0..3).flat_map(|old| (3..7).flat_map(move |new| [(old, new), (new, old)]));
    network.faults.cuts = directions.collect();
    (3..7).for_each(|index| network.start(index));
    network.run_for(Duration::from_secs(20), |_| {});
    assert_eq!(network.settled(), [0, 1, 2]);
    network.faults.cuts.clear();
    network.run_for(Duration::from_secs(15), |_| {});
    assert_eq!(network.settled().len(), 7);
}

#[test]
fn divided_limits_add_up_to_the_limits() {
    let settings = TargetSettings::default();
    for slots in 1..9 {
        for count in 1..=slots as usize {
            let limits = TargetLimits {
                slots,
                ..settings.limits.clone().unwrap_or_default()
            };
            let shares: Vec<_> = (0..count)
                .map(|position| divide_limits(&limits, position, count))
                .collect();
            assert_eq!(shares.iter().map(|share| share.slots).sum::<u32>(), slots);
            let connections: u32 = shares.iter().map(|share| share.connections).sum();
            assert_eq!(connections, limits.connections);
            assert_eq!(shares.iter().filter(|share| share.leads).count(), 1);
        }
    }
}
