//! Rollout of a bad version.

use crate::client::RequestKind;
use crate::json;
use crate::record::Record;
use crate::searcher::{Conduct, ConductRule, Searcher, SearcherSettings};
use crate::store::Store;
use crate::world::{Route, World, ZONES, service, sleep_until};
use std::io::{Error, Result};
use std::sync::Arc;
use std::time::Duration;

const SERVICE: &str = "shop-floor";
/// Bounds `exposureShare`, `exposureSlack` and `rollbackMs` of the small sites.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK_TIME: Duration = Duration::from_secs(5);
/// Number of bad answers from which the time for the rollback counts.
const BAD_ANSWERS: usize = 50;
/// `finishByS` of the example that the bench prints for the small sites.
const FINISH_TIME: Duration = Duration::from_secs(12);
/// Number of searchers of each version; that of the service on the small site.
const SEARCHERS: usize = 7;

/// Requests a second of the two routes: the first is that of the small site.
const ORDER_RATE: f64 = 22.5;
const PRINT_RATE: f64 = 0.5;
/// Time after the deadline for which the run goes on.
const AFTER_TIME: Duration = Duration::from_secs(40);

const ROUTES: [Route; 2] = [
    Route {
        name: "order-fetch",
        prefix: "/orders/",
        is_safe: true,
        service: SERVICE,
    },
    Route {
        name: "order-print",
        prefix: "/prints/",
        is_safe: true,
        service: SERVICE,
    },
];
const ORDERS: RequestKind = RequestKind {
    path: "/orders/",
    is_safe: true,
    deadline: Duration::from_secs(6),
};
const PRINTS: RequestKind = RequestKind {
    path: "/prints/",
    ..ORDERS
};

fn fail_prints(path: &str) -> Conduct {
    if path.starts_with(PRINTS.path) {
        Conduct::Fail
    } else {
        Conduct::Answer
    }
}

fn version(name: &str, conduct: ConductRule) -> Vec<SearcherSettings> {
    (0..SEARCHERS)
        .map(|number| SearcherSettings {
            id: format!("{name}-{}", number + 1),
            service: SERVICE.to_owned(),
            zone: ZONES[number % ZONES.len()].to_owned(),
            version: name.to_owned(),
            work: Duration::from_millis(90),
            conduct,
            ..SearcherSettings::default()
        })
        .collect()
}

fn start_version(world: &World, name: &str, conduct: ConductRule) -> Result<Vec<Arc<Searcher>>> {
    let settings = version(name, conduct).into_iter();
    settings
        .map(|settings| Searcher::start(settings, &world.store, &world.record))
        .collect()
}

fn order(world: &World, name: &str) {
    let spec = format!(
        "{{\"service\":\"{SERVICE}\",\"targetVersion\":\"{name}\",\"finishByS\":{}}}",
        FINISH_TIME.as_secs()
    );
    world.store.put("rollouts", SERVICE, &spec);
    world.record.say(&format!(
        "{:.3} s: the operator orders {name}",
        world.record.now().as_secs_f64()
    ));
}

/// State that the system has written for a version.
fn state_of(store: &Store, name: &str) -> Option<String> {
    let status = store.status("rollouts", SERVICE)?;
    let is_same = json::text(&status, "targetVersion") == Some(name);
    is_same.then(|| json::text(&status, "state").unwrap_or("").to_owned())
}

/// Waits until a version has this state, or until a time; returns whether it has.
fn wait_for_state(world: &World, name: &str, state: &str, until: Duration) -> bool {
    while world.record.now() < until {
        if state_of(&world.store, name).as_deref() == Some(state) {
            let at = world.record.now().as_secs_f64();
            world.record.say(&format!("{at:.3} s: {name} is {state}"));
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// A version fails all requests on one route, which gets few; without trouble, it is a good one.
pub fn run_route(record: &Arc<Record>, has_trouble: bool) -> Result<bool> {
    let services = service(SERVICE, 3.0, 0.0);
    let old = version("v1", |_| Conduct::Answer);
    let (mut world, old) = World::start(record, &ROUTES, &services, old)?;
    world.start_clients(40, ORDER_RATE, ORDERS);
    world.start_clients(5, PRINT_RATE, PRINTS);
    sleep_until(record, record.now() + Duration::from_secs(6));
    let conduct = if has_trouble {
        fail_prints
    } else {
        |_: &str| Conduct::Answer
    };
    let ordered = record.now();
    order(&world, "v2");
    let new = start_version(&world, "v2", conduct)?;
    let deadline = ordered + FINISH_TIME;
    let is_completed = wait_for_state(&world, "v2", "completed", deadline);
    if is_completed {
        // The platform stops the old searchers at once.
        for searcher in &old {
            searcher.close(true);
        }
    }
    sleep_until(record, deadline + AFTER_TIME);
    let state = state_of(&world.store, "v2").unwrap_or_default();
    record.say(&format!("state of v2 at the end: {state:?}"));
    world.close();
    let has_held = judge(record, &[&old, &new], &new, (ordered, deadline));
    if has_trouble {
        return Ok(has_held);
    }
    record.say("the version is a good one, to which the rule does not apply");
    if is_completed {
        Ok(true)
    } else {
        Err(Error::other("the good version was not completed"))
    }
}

/// Prints what a bad version got; returns whether the rule held.
fn judge(
    record: &Record,
    all: &[&Vec<Arc<Searcher>>],
    bad: &[Arc<Searcher>],
    (ordered, deadline): (Duration, Duration),
) -> bool {
    let count = |searchers: &[Arc<Searcher>]| -> usize {
        let arrivals = searchers.iter().flat_map(|searcher| searcher.arrivals());
        arrivals
            .filter(|arrival| (ordered..deadline).contains(&arrival.at))
            .count()
    };
    let total: usize = all.iter().map(|searchers| count(searchers)).sum();
    let exposed = count(bad);
    let limit = EXPOSURE_SHARE * total as f64 + EXPOSURE_SLACK;
    record.say(&format!(
        "between the order and its deadline the version got {exposed} of {total} requests; allowed are {limit:.1}"
    ));
    let mut bad_answers: Vec<Duration> = bad
        .iter()
        .flat_map(|searcher| searcher.bad_answers())
        .collect();
    bad_answers.sort();
    record.say(&format!(
        "bad answers of the version: {}",
        bad_answers.len()
    ));
    let mut late = 0;
    if let Some(last) = bad_answers.get(BAD_ANSWERS - 1) {
        let from = *last + ROLLBACK_TIME;
        let arrivals = bad.iter().flat_map(|searcher| searcher.arrivals());
        late = arrivals.filter(|arrival| arrival.at >= from).count();
        record.say(&format!(
            "requests that it got later than {} s after its 50th bad answer at {:.3} s: {late}",
            ROLLBACK_TIME.as_secs(),
            last.as_secs_f64()
        ));
    }
    exposed as f64 <= limit && late == 0
}
