//! Requests to cold searchers, whose number a second is limited over all nodes.

use crate::client::RequestKind;
use crate::record::Record;
use crate::searcher::{Arrival, LAPSE_TIME, Searcher, SearcherSettings};
use crate::world::{Route, World, ZONES, service, sleep_until};
use std::io::Result;
use std::sync::Arc;
use std::time::Duration;

/// `warmupS` of the service: how long a searcher is cold.
const WARMUP_S: f64 = 25.0;
/// `warmupPerS` of the service: requests a second that a cold searcher tolerates.
const WARMUP_PER_S: f64 = 4.0;
/// Requests in a second at which a cold searcher crashes: four times what it tolerates, and more than the
/// rule allows.
const CRASH_REQUESTS: usize = 16;
/// Bounds `warmupFactor` and `warmupSlack` of the small sites.
const WARMUP_FACTOR: f64 = 1.5;
const WARMUP_SLACK: f64 = 5.0;
/// Time from a report to the store after which every node is held to know it; `configApplyMs` of the sites.
const KNOWN_AFTER: Duration = Duration::from_secs(3);

/// Load of a shard on the small site, whose routes to all shards get 67.6 and 22.5 requests a second.
const SHARD_RATE: f64 = 90.0;
/// What a burst adds to this load, to 1.7 times of it, and how long it lasts. The largest burst on the small
/// sites is as high and lasts 3 s.
const BURST_RATE: f64 = 63.0;
const BURST_TIME: Duration = Duration::from_millis(1200);
/// Work on a request at the one searcher that is left, which then runs 100 requests a second.
const QUEUE_WORK: Duration = Duration::from_millis(30);
/// Number of bursts, how long the searcher is cold after one, and the time until the next one.
const BURSTS: usize = 3;
const BURST_COLD_TIME: Duration = Duration::from_secs(4);
const BURST_PAUSE: Duration = Duration::from_secs(4);
/// Time after the report that it is cold from which requests count: nodes learn of it within about 0.05 s.
const QUEUE_KNOWN_AFTER: Duration = Duration::from_millis(200);
/// Time for which all searchers are down.
const DOWN_TIME: Duration = Duration::from_millis(4500);
/// Number of times that the searchers come back, and how long they are cold then.
const RETURNS: usize = 3;
const COLD_TIME: Duration = Duration::from_secs(WARMUP_S as u64);
/// Time between the returns of two searchers.
const RETURN_PAUSE: Duration = Duration::from_secs(4);
/// Time for which a searcher serves on after it has reported that it drains.
const DRAIN_TIME: Duration = Duration::from_secs(4);

const FETCH: RequestKind = RequestKind {
    path: "/orders/",
    is_safe: true,
    deadline: Duration::from_secs(6),
};

const ROUTE: Route = Route {
    name: "order-fetch",
    prefix: "/orders/",
    is_safe: true,
    service: "shop-floor",
};

fn searchers(count: usize, work: Duration) -> Vec<SearcherSettings> {
    (0..count)
        .map(|number| SearcherSettings {
            id: format!("i-{}", number + 1),
            zone: ZONES[number % ZONES.len()].to_owned(),
            work,
            ..SearcherSettings::default()
        })
        .collect()
}

/// One of two searchers leaves. The other one turns cold while requests wait for it after a burst, a few
/// times.
pub fn run_queue(record: &Arc<Record>, has_trouble: bool) -> Result<bool> {
    let services = service("shop-floor", WARMUP_S, WARMUP_PER_S);
    let both = searchers(2, QUEUE_WORK);
    let (mut world, searchers) = World::start(record, &[ROUTE], &services, both)?;
    world.start_clients(120, SHARD_RATE, FETCH);
    std::thread::sleep(Duration::from_secs(2));
    searchers[1].drain();
    std::thread::sleep(DRAIN_TIME);
    searchers[1].close(true);
    std::thread::sleep(Duration::from_secs(1));
    let mut has_held = true;
    for _ in 0..BURSTS {
        if has_trouble {
            let burst = world.start_clients(120, BURST_RATE, FETCH);
            std::thread::sleep(BURST_TIME);
            world.stop_clients(burst);
        } else {
            std::thread::sleep(BURST_TIME);
        }
        searchers[0].turn_cold(BURST_COLD_TIME);
        let from = record.now() + QUEUE_KNOWN_AFTER;
        std::thread::sleep(BURST_COLD_TIME);
        has_held &= judge(record, &searchers[..1], (from, record.now()));
        std::thread::sleep(BURST_PAUSE);
    }
    world.close();
    Ok(has_held)
}

/// Two machines are removed and two others come, whose seeds name each other and a machine that is gone.
pub fn run_island(record: &Arc<Record>, has_trouble: bool) -> Result<bool> {
    let services = service("shop-floor", WARMUP_S, WARMUP_PER_S);
    let (mut world, searchers) = World::start(
        record,
        &[ROUTE],
        &services,
        searchers(2, Duration::from_millis(20)),
    )?;
    world.fleet.kill(&[5, 6]);
    std::thread::sleep(Duration::from_secs(3));
    for number in [7, 8] {
        let seeds = if has_trouble { [7, 8, 5] } else { [0, 1, 5] };
        world.fleet.set_seeds(number, &seeds)?;
    }
    for number in [7, 8] {
        world.fleet.spawn(number)?;
    }
    world.start_clients(60, SHARD_RATE, FETCH);
    sleep_until(record, record.now() + Duration::from_secs(8));
    for searcher in &searchers {
        searcher.turn_cold(Duration::from_secs_f64(WARMUP_S));
    }
    let from = record.now() + KNOWN_AFTER;
    sleep_until(record, from + Duration::from_secs(15));
    for directory in world.fleet.directories() {
        if let Ok(answer) =
            crate::client::fetch(directory, "/-/resolve?name=shops.example&zone=zone-a")
        {
            record.say(&format!(
                "{directory} names {}",
                String::from_utf8_lossy(&answer.body)
            ));
        }
    }
    let to = record.now();
    world.close();
    Ok(judge(record, &searchers, (from, to)))
}

/// All searchers of the service crash, and others come back cold, a few times; without trouble, each
/// leaves once its successor has started.
pub fn run_return(record: &Arc<Record>, has_trouble: bool) -> Result<bool> {
    let services = service("shop-floor", WARMUP_S, WARMUP_PER_S);
    let all = searchers(2 * (RETURNS + 1), Duration::from_millis(20));
    let (first, next) = all.split_at(2);
    let (mut world, mut present) = World::start(record, &[ROUTE], &services, first.to_vec())?;
    world.start_clients(60, SHARD_RATE, FETCH);
    sleep_until(record, record.now() + Duration::from_secs(6));
    let from = record.now();
    let mut returned = Vec::new();
    for pair in next.chunks(2) {
        if has_trouble {
            for searcher in &present {
                searcher.close(false);
            }
            std::thread::sleep(LAPSE_TIME);
            for searcher in &present {
                world.store.remove("servers", &searcher.settings.id);
            }
            std::thread::sleep(DOWN_TIME - LAPSE_TIME);
        }
        for (settings, old) in pair.iter().zip(std::mem::take(&mut present)) {
            let mut settings = settings.clone();
            settings.cold_most = Some(CRASH_REQUESTS);
            let searcher = Searcher::start_cold(settings, COLD_TIME, &world.store, record)?;
            if !has_trouble {
                old.drain();
            }
            present.push(Arc::clone(&searcher));
            returned.push(searcher);
            std::thread::sleep(RETURN_PAUSE);
        }
    }
    let to = record.now();
    world.close();
    Ok(judge(record, &returned, (from, to)))
}

/// Prints the busiest second of each cold searcher between two times; returns whether the rule held.
fn judge(record: &Record, searchers: &[Arc<Searcher>], (from, to): (Duration, Duration)) -> bool {
    let limit = WARMUP_PER_S * WARMUP_FACTOR + WARMUP_SLACK;
    let mut has_held = true;
    for searcher in searchers {
        let arrivals: Vec<Arrival> = searcher
            .arrivals()
            .into_iter()
            .filter(|arrival| arrival.is_cold && (from..to).contains(&arrival.at))
            .collect();
        let second = Duration::from_secs(1);
        let starts = arrivals.iter().filter_map(|arrival| arrival.sent);
        let busiest = starts.map(|start| {
            // Only what was sent and arrived inside the second counts.
            let within = |arrival: &&Arrival| {
                arrival.sent.is_some_and(|sent| sent >= start) && arrival.at < start + second
            };
            (arrivals.iter().filter(within).count(), start)
        });
        let (most, at) = busiest.max_by_key(|(count, _)| *count).unwrap_or_default();
        record.say(&format!(
            "cold searcher {}: at most {most} requests in a second (from {:.3} s); allowed are {limit}",
            searcher.settings.id,
            at.as_secs_f64()
        ));
        has_held &= most as f64 <= limit;
    }
    has_held
}
