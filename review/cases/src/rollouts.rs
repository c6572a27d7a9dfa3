//! Rollouts of all shards of an index at the same time, one of them to a bad version.

use crate::client::{Clients, call};
use crate::searcher::{Fault, Plan, Searcher};
use crate::world::{Clock, HOST, Record, World, configuration, gather_route};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Number of nodes.
const NODES: usize = 7;
/// Number of shards, each of which is a service with two searchers.
const SHARDS: usize = 30;
/// Shard whose new version turns bad.
const BAD_SHARD: usize = 7;
/// Versions of the searchers' software.
const OLD_VERSION: &str = "2026.11.2";
const NEW_VERSION: &str = "2026.12.1";
/// Queries a second, on both routes together.
const QUERIES_PER_S: f64 = 15.0;
/// Time from the order by which a rollout has to be completed or rolled back (`finishByS`).
const FINISH_S: f64 = 25.0;
/// Time from the order after which the bad version fails.
const BAD_AFTER_S: f64 = 14.0;
/// Portion of its answers that are failures from then on.
const BAD_PORTION: f64 = 0.8;
/// `exposureShare` and `exposureSlack` of the deployment.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
/// Deadline of a query.
const DEADLINE: Duration = Duration::from_millis(1200);

/// Runs the case; returns what broke the rule.
pub async fn run(has_trouble: bool, path: &Path) -> std::io::Result<Vec<String>> {
    let shards: Vec<String> = (0..SHARDS)
        .map(|shard| format!("quote-builder-{shard:02}"))
        .collect();
    let timeout_ms = DEADLINE.as_millis() as u64;
    let routes = [
        gather_route("panel-match", &shards, 10, 200, timeout_ms),
        gather_route("site-quick", &shards, 5, 80, timeout_ms),
    ];
    let world = World::start(NODES, &configuration(3, &routes, &shards, 31)).await?;
    let (old, new) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    start_searchers(&world, &shards, OLD_VERSION, &old).await?;
    if !world.wait_until_ready().await {
        return Err(std::io::Error::other("the nodes did not become ready"));
    }
    let clients = Arc::new(Clients::new(&world));
    send_for(Duration::from_secs(12), &clients, &world).await;
    // The operator orders the rollouts; without the disruption, only that of one shard.
    start_searchers(&world, &shards, NEW_VERSION, &new).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let ordered = if has_trouble {
        &shards[..]
    } else {
        &shards[BAD_SHARD..=BAD_SHARD]
    };
    old.store(0, Ordering::Relaxed);
    new.store(0, Ordering::Relaxed);
    for shard in ordered {
        let order = serde_json::json!({ "service": shard, "targetVersion": NEW_VERSION, "finishByS": FINISH_S });
        world
            .store
            .put("rollouts", shard, order.to_string().as_bytes());
    }
    world.record.note(
        &world.clock,
        format!("{} rollouts are ordered", ordered.len()),
    );
    let order = Instant::now();
    let after_order = |seconds| {
        (order + Duration::from_secs_f64(seconds)).saturating_duration_since(Instant::now())
    };
    send_for(after_order(BAD_AFTER_S), &clients, &world).await;
    let before_bad = new.load(Ordering::Relaxed);
    world.clock.set_trouble(true);
    world.record.note(
        &world.clock,
        "the new version of one shard turns bad".to_owned(),
    );
    send_for(after_order(FINISH_S), &clients, &world).await;
    let (old, new) = (old.load(Ordering::Relaxed), new.load(Ordering::Relaxed));
    let limit = EXPOSURE_SHARE * (old + new) as f64 + EXPOSURE_SLACK;
    let state = world.store.status("rollouts", &shards[BAD_SHARD]);
    let mut summary = vec![
        format!(
            "requests that reached {} between the order and its deadline: {}; the bad version got \
             {new} ({before_bad} of them before it turned bad), at most {limit:.0} are allowed",
            shards[BAD_SHARD],
            old + new
        ),
        format!("state of its rollout: {}", state.unwrap_or_default()),
        format!("answers by status: {:?}", world.record.statuses()),
    ];
    for (number, node) in world.nodes.iter().enumerate() {
        let named = crate::client::resolve(node.addresses).await;
        let count = named.map_or(0, |(addresses, _)| addresses.len());
        summary.push(format!(
            "node {} names {count} of {NODES} nodes to clients",
            number + 1
        ));
    }
    for line in &summary {
        println!("{line}");
    }
    let mut broken = Vec::new();
    if new as f64 > limit {
        broken.push(format!(
            "EXPOSURE the bad version got {new} requests; {limit:.0} are allowed"
        ));
    }
    summary.extend(broken.iter().map(|line| format!("broken: {line}")));
    world.record.write(path, &summary)?;
    Ok(broken)
}

/// Starts two searchers of each shard. Those of the judged shard count their requests in `arrived`.
async fn start_searchers(
    world: &World,
    shards: &[String],
    version: &str,
    arrived: &Arc<AtomicUsize>,
) -> std::io::Result<()> {
    for (number, shard) in shards.iter().enumerate() {
        for zone in ["gp-midrand", "gp-centurion"] {
            let is_judged = number == BAD_SHARD;
            let is_bad = is_judged && version == NEW_VERSION;
            let plan = Plan {
                version: version.to_owned(),
                slots: 3,
                queue: 18,
                work_ms: (5.0, 15.0),
                fault: if is_bad {
                    Fault::FailsWith(500, BAD_PORTION)
                } else {
                    Fault::None
                },
                arrived: if is_judged {
                    Arc::clone(arrived)
                } else {
                    Arc::default()
                },
                ..Plan::sound(&format!("i-{number:02}-{version}-{zone}"), shard, zone)
            };
            Searcher::start(world, plan).await?;
        }
    }
    Ok(())
}

/// Sends queries for a time.
async fn send_for(time: Duration, clients: &Arc<Clients>, world: &World) {
    let end = Instant::now() + time;
    let mut count = 0;
    while Instant::now() < end {
        let clients = Arc::clone(clients);
        let route = if count % 4 == 3 {
            "site-quick"
        } else {
            "panel-match"
        };
        let (clock, record) = (Arc::clone(&world.clock), Arc::clone(&world.record));
        tokio::spawn(async move { query(&clients, route, &clock, &record).await });
        count += 1;
        tokio::time::sleep(Duration::from_secs_f64(1.0 / QUERIES_PER_S)).await;
    }
}

async fn query(clients: &Clients, route: &str, clock: &Clock, record: &Record) {
    let Some(address) = clients.pick().await else {
        return;
    };
    let id = clock.next_id();
    let request = format!(
        "GET /{route}/1 HTTP/1.1\r\nHost: {HOST}\r\nNutmegspread-Request-Id: {id}\r\n\
         Nutmegspread-Deadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    record.note(clock, format!("sent {id} to {address}"));
    let answer = call(address, request.as_bytes(), DEADLINE).await;
    record.answer(clock, &id, answer.map_or(0, |answer| answer.status));
}
