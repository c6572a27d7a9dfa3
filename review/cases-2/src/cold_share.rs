//! A node that wakes from a freeze takes itself for the only one, and uses the whole limit of a cold
//! searcher, while the other node uses it as well.

use crate::cold_load::{ColdLoad, configure, start_searchers, wait_until_named};
use crate::node::{Fleet, Node};
use crate::store::Store;
use crate::{CaseRun, Outcome};
use std::net::SocketAddr;
use std::time::Duration;

const NODES: u8 = 2;
const BEFORE: Duration = Duration::from_secs(8);
/// A freeze of a machine, as long as in the site file.
const FREEZE_TIME: Duration = Duration::from_millis(4000);
const AFTER: Duration = Duration::from_secs(5);

pub fn run(case: &CaseRun) -> Outcome {
    play(case).unwrap_or_else(Outcome::NotRun)
}

fn play(case: &CaseRun) -> Result<Outcome, String> {
    let record = &case.record;
    let store = Store::start();
    configure(&store);
    let fleet = Fleet::new(case, &store, NODES)?;
    let mut nodes: Vec<Node> = (1..=NODES).map(|number| fleet.start(number)).collect();
    let directories: Vec<SocketAddr> = nodes.iter().map(|node| node.addresses).collect();
    let searchers = start_searchers(&store, record);
    wait_until_named(&directories, nodes.len())?;
    let load = ColdLoad::start(&directories, record);
    std::thread::sleep(BEFORE);
    if case.has_trouble {
        record.say("the second machine freezes");
        nodes[1].signal("STOP")?;
        std::thread::sleep(FREEZE_TIME);
        nodes[1].signal("CONT")?;
        record.say("the second machine wakes");
    } else {
        std::thread::sleep(FREEZE_TIME);
    }
    std::thread::sleep(AFTER);
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
