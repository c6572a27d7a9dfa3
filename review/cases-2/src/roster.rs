//! A node finds the others through a roster in the store, of which it keeps 32 entries, the last ones by
//! name. Entries of machines that were removed stay, so that a new machine may find no live one, and then
//! takes itself for the only node.

use crate::cold_load::{ColdLoad, configure, start_searchers, wait_until_named};
use crate::node::{Fleet, Node, NodePlan};
use crate::store::Store;
use crate::{CaseRun, Outcome};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Machines that stay for the whole case.
const STAYING: u8 = 2;
/// Pairs of machines that are replaced one after the other.
const PAIRS: u8 = 17;
/// Number of the machine that is added at last.
const LAST: u8 = STAYING + 2 * PAIRS + 1;
/// Time after which a machine that was removed is no longer counted by the others.
const FORGET_TIME: Duration = Duration::from_millis(1900);
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// Time from the start after which no further pair is replaced, so that the case ends within 120 s even
/// if each later wait takes as long as it may.
const REPLACE_TIME: Duration = Duration::from_secs(60);
const LOAD_TIME: Duration = Duration::from_secs(10);

pub fn run(case: &CaseRun) -> Outcome {
    play(case).unwrap_or_else(Outcome::NotRun)
}

fn play(case: &CaseRun) -> Result<Outcome, String> {
    let begun = Instant::now();
    let record = &case.record;
    let store = Store::start();
    configure(&store);
    let fleet = Fleet::new(case, &store, LAST)?;
    let plan = |number: u8, zone: &str, cores: f64, seeds: [u8; 3]| NodePlan {
        number,
        name: format!("front-{zone}-{number}"),
        zone: zone.to_owned(),
        cores,
        seeds,
    };
    let searchers = start_searchers(&store, record);
    let staying = (1..=STAYING).map(|number| plan(number, "a", 0.25, [1, 2, 3]));
    let mut nodes: Vec<Node> = staying.map(|plan| fleet.start_planned(&plan)).collect();
    let directories: Vec<SocketAddr> = nodes.iter().map(|node| node.addresses).collect();
    wait_until_named(&directories, nodes.len())?;
    if case.has_trouble {
        for pair in 0..PAIRS {
            if begun.elapsed() > REPLACE_TIME {
                return Err("this machine takes too long to replace the nodes".to_owned());
            }
            let first = STAYING + 2 * pair + 1;
            record.line(&format!("machines {first} and {} are added", first + 1));
            let seeds = [1, 2, first];
            let plans = [
                plan(first, "b", 0.5, seeds),
                plan(first + 1, "c", 0.5, seeds),
            ];
            let mut added: Vec<Node> = plans.iter().map(|plan| fleet.start_planned(plan)).collect();
            let waited = Instant::now();
            let is_entered = |plan: &NodePlan| store.has("nutmegspread-members", &plan.name);
            while !plans.iter().all(is_entered) && waited.elapsed() < Duration::from_secs(6) {
                std::thread::sleep(Duration::from_millis(20));
            }
            if !added.iter_mut().all(Node::is_running) {
                return Err("a node ended by itself".to_owned());
            }
            drop(added);
            record.line(&format!(
                "they are removed for good; the roster has {} entries",
                store.count("nutmegspread-members")
            ));
            std::thread::sleep(FORGET_TIME);
        }
    }
    // The machines that stay now watch the store, and enter the roster within 5 s.
    let waited = Instant::now();
    let is_entered = |number: u8| store.has("nutmegspread-members", &format!("front-a-{number}"));
    while !(1..=STAYING).all(is_entered) {
        if waited.elapsed() > Duration::from_secs(12) {
            return Err("the machines that stay do not enter the roster".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    record.say(&format!(
        "a machine is added, whose seeds do not answer; the roster has {} entries",
        store.count("nutmegspread-members")
    ));
    let seeds = [STAYING + 1, STAYING + 2, STAYING + 3];
    nodes.push(fleet.start_planned(&plan(LAST, "b", 0.5, seeds)));
    // The new machine reads the roster again every 5 s.
    std::thread::sleep(SETTLE_TIME);
    let directories: Vec<SocketAddr> = nodes.iter().map(|node| node.addresses).collect();
    for (node, directory) in ["a-1", "a-2", "the new one"].iter().zip(&directories) {
        let named = crate::client::resolve(*directory).unwrap_or_default();
        record.say(&format!(
            "the directory of {node} names {} nodes",
            named.len()
        ));
    }
    let load = ColdLoad::start(&directories, record);
    std::thread::sleep(LOAD_TIME);
    let is_broken = load.check(case, &searchers)?;
    if !nodes.iter_mut().all(Node::is_running) {
        return Err("a node ended by itself".to_owned());
    }
    Ok(if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
