//! A change of the configuration while most nodes are killed.

use crate::client::{RequestKind, probe};
use crate::record::Record;
use crate::searcher::SearcherSettings;
use crate::world::{Route, World, ZONES, configuration, service, sleep_until};
use std::io::Result;
use std::sync::Arc;
use std::time::Duration;

/// Number of nodes, that of the smallest sweep of the bench; up to 12 all hear each other.
const NODES: usize = 30;
/// Number of nodes that are not killed, the last ones by name.
const SURVIVORS: usize = 2;
/// Bound `configApplyMs` of the small sites.
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time between two requests to a node, and the time after the change for which they are sent.
const PROBE_PAUSE: Duration = Duration::from_millis(40);
const PROBE_TIME: Duration = Duration::from_secs(8);

const OLD: &str = "shop-floor";
const NEW: &str = "billing";
const FETCH: RequestKind = RequestKind {
    path: "/orders/",
    is_safe: true,
    deadline: Duration::from_secs(6),
};

fn route(service: &'static str) -> Route {
    Route {
        name: "order-fetch",
        prefix: "/orders/",
        is_safe: true,
        service,
    }
}

/// All nodes but a few are killed, and then a version moves a route to another service.
pub fn run_survivors(record: &Arc<Record>, has_trouble: bool) -> Result<bool> {
    let services = [service(OLD, 3.0, 0.0), service(NEW, 3.0, 0.0)].join(",");
    let searchers = [OLD, NEW].into_iter().flat_map(|name| {
        (0..4).map(move |number| SearcherSettings {
            id: format!("{name}-{}", number + 1),
            service: name.to_owned(),
            zone: ZONES[number].to_owned(),
            work: Duration::from_millis(5),
            ..SearcherSettings::default()
        })
    });
    let searchers = searchers.collect();
    let (mut world, _searchers) =
        World::start_nodes(NODES, record, &[route(OLD)], &services, searchers)?;
    std::thread::sleep(Duration::from_secs(8));
    if has_trouble {
        let killed: Vec<usize> = (0..NODES - SURVIVORS).collect();
        world.fleet.kill(&killed);
        record.say(&format!("{} of {NODES} nodes were killed", killed.len()));
    }
    world.store.put(
        "config",
        "main",
        &configuration(9, &[route(NEW)], &services),
    );
    let acknowledged = record.now();
    record.say(&format!(
        "{:.3} s: version 9 is acknowledged",
        acknowledged.as_secs_f64()
    ));
    let mut late = 0;
    while record.now() < acknowledged + PROBE_TIME {
        let next = record.now() + PROBE_PAUSE;
        for number in NODES - SURVIVORS..NODES {
            let sent = record.now();
            let (id, answer) = probe(world.fleet.front(number), FETCH, record)?;
            let stamp = answer.header("nutmegspread-server-stamp").unwrap_or("");
            let is_old = answer.status() == 200 && stamp.starts_with(OLD);
            let after = sent.saturating_sub(acknowledged);
            if is_old && after > APPLY_TIME {
                late += 1;
                record.say(&format!(
                    "request {id} to {}, sent {:.3} s after it, was run by the old service",
                    world.fleet.nodes[number].name,
                    after.as_secs_f64()
                ));
            }
        }
        sleep_until(record, next);
    }
    world.close();
    record.say(&format!(
        "{late} requests were run by the old service more than {} s after the acknowledgement",
        APPLY_TIME.as_secs()
    ));
    Ok(late == 0)
}
