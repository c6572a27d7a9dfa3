//! A randomized fault soak over real processes.
//!
//! `SOAK_SEEDS=100-150 SOAK_SECONDS=20 cargo test -p nutmegspread --test soak -- --nocapture`
//! plays other seeds; without the variables a short run with fixed seeds is played. The logs of
//! the nodes are kept where a promise was broken, and always with `SOAK_KEEP=1`.

mod soak_caller;
mod soak_checks;
mod soak_faults;
mod soak_world;

use nutmegspread_platform_standin::{SearcherSettings, StoreFault};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use soak_caller::{CallerRecords, CallerSight, call};
use soak_checks::{SoakRecords, broken_promises};
use soak_faults::FaultDriver;
use soak_world::SoakWorld;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

/// Seeds of the short run. Seeds that ever failed are added with a line on the cause.
const SHORT_SEEDS: [u64; 2] = [1, 2];
const SHORT_LENGTH: Duration = Duration::from_secs(8);
const NODES: usize = 5;
const CALLERS: usize = 10;
/// Time for nodes to find the store, targets and each other.
const START_TIME: Duration = Duration::from_millis(1500);
/// Time after the last fault before service must be whole again.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Length of the calm end.
const END_TIME: Duration = Duration::from_secs(2);

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return SHORT_SEEDS.to_vec();
    };
    let (from, to) = text.split_once('-').unwrap_or((&text, &text));
    let parse = |text: &str| text.trim().parse::<u64>().expect("SOAK_SEEDS is N or N-M");
    (parse(from)..=parse(to)).collect()
}

fn length() -> Duration {
    std::env::var("SOAK_SECONDS").map_or(SHORT_LENGTH, |text| {
        Duration::from_secs(text.parse().expect("SOAK_SECONDS is a whole number"))
    })
}

async fn play(seed: u64) -> Vec<String> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut world = SoakWorld::start(seed, NODES).await;
    tokio::time::sleep(START_TIME).await;
    let records = CallerRecords::default();
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let addresses: Vec<_> = world.nodes.iter().map(|node| node.address).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let addresses = addresses.clone();
            tokio::spawn(call(
                seed,
                number,
                addresses,
                records.clone(),
                stopped.clone(),
            ))
        })
        .collect();
    let mut driver = FaultDriver::default();
    driver.run(&mut world, &mut random, length()).await;
    driver.settle(&mut world).await;
    tokio::time::sleep(CALM_TIME).await;
    let calm_from = Instant::now();
    tokio::time::sleep(END_TIME).await;
    stop.send_replace(true);
    for caller in callers {
        caller.await.expect("a caller ran to its end");
    }
    let records = SoakRecords {
        callers: records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone(),
        runs: world.ledger.runs(),
        faults: driver.spans,
        versions: world.versions.clone(),
        stops: driver.stops,
        drains: driver.drains,
        calm_from,
    };
    let mut broken = broken_promises(&records);
    broken.append(&mut driver.broken);
    let served = records
        .callers
        .iter()
        .filter(|record| matches!(record.seen, CallerSight::Answer { status: 200, .. }))
        .count();
    println!(
        "seed {seed}: {served} of {} requests served, {} spans, {} stops, {} drains, {} versions, {} broken",
        records.callers.len(),
        records.faults.len(),
        records.stops.len(),
        records.drains.len(),
        records.versions.len(),
        broken.len()
    );
    if !broken.is_empty() {
        for span in &records.faults {
            println!("  {} of {:?}: {:?}", span.what, span.node, span.kind);
        }
    }
    let keeps_logs = !broken.is_empty() || std::env::var_os("SOAK_KEEP").is_some();
    world.close(keeps_logs).await;
    broken
}

/// One request of each route to a node; the statuses that came back.
async fn statuses(node: std::net::IpAddr, number: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for route in ["gather", "fetch", "order", "absent"] {
        let id = format!("single{number}{route}");
        statuses.push(soak_caller::call_once(node, route, &id).await);
    }
    statuses
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Nodes share two watchers, so calls to the store do not grow with the nodes or with time.
#[test]
fn calls_to_the_store_stay_few_at_rest() {
    runtime().block_on(async {
        let world = SoakWorld::start(60_001, 9).await;
        tokio::time::sleep(START_TIME * 2).await;
        let before = world.store.calls();
        tokio::time::sleep(Duration::from_secs(4)).await;
        let calls = world.store.calls() - before;
        world.close(false).await;
        // Two watchers hold three watches of 25 s each; five calls a second is the bound.
        assert!(calls <= 20, "{calls} calls in 4 s");
    });
}

/// Nodes that start together find out who watches before any of them does.
#[test]
fn calls_to_the_store_stay_few_at_a_common_start() {
    runtime().block_on(async {
        let world = SoakWorld::start(60_005, 9).await;
        tokio::time::sleep(START_TIME).await;
        let (calls, stale) = (world.store.calls(), world.store.stale_calls());
        world.close(false).await;
        // Two watchers hold three watches each and enter the roster, with one change seen by each.
        assert!(calls <= 12, "{calls} calls at the full price");
        assert!((3..=27).contains(&stale), "{stale} first lists");
    });
}

/// Targets that come in quick succession are read together.
#[test]
fn calls_to_the_store_stay_few_while_many_targets_come() {
    runtime().block_on(async {
        let world = SoakWorld::start(60_006, 3).await;
        tokio::time::sleep(START_TIME).await;
        let before = world.store.calls();
        let searcher = SearcherSettings {
            service: "later".to_owned(),
            ..Default::default()
        };
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
        for number in 0..90 {
            world
                .store
                .register(&format!("later-{number}"), &searcher, address);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let calls = world.store.calls() - before;
        world.close(false).await;
        // Two watchers with seven calls a second each, for 1.8 s and what the machine adds to it.
        assert!(calls <= 40, "{calls} calls for 90 targets");
    });
}

/// A node that knows no configuration says so at once; it never denies a route.
#[test]
fn a_node_without_the_store_refuses_and_serves_once_the_store_is_back() {
    runtime().block_on(async {
        let mut world = SoakWorld::start(60_002, 1).await;
        world.signal(0, rustix::process::Signal::KILL);
        while world.ended(0).is_none() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        world.store.set_fault(StoreFault::Busy);
        world.spawn(0);
        tokio::time::sleep(START_TIME).await;
        let node = world.nodes[0].address;
        let refused = statuses(node, 1).await;
        world.store.set_fault(StoreFault::None);
        tokio::time::sleep(START_TIME).await;
        let served = statuses(node, 2).await;
        world.store.set_fault(StoreFault::Silent);
        tokio::time::sleep(START_TIME).await;
        let without = statuses(node, 3).await;
        world.close(false).await;
        assert_eq!(refused, [503, 503, 503, 503]);
        assert_eq!(served, [200, 200, 200, 404]);
        assert_eq!(
            without,
            [200, 200, 200, 404],
            "what is known stays in force"
        );
    });
}

/// From its line on the start, a node takes signals. The seeds 115, 211 and 311 sent some before
/// the program ran, which ends any process; the soak now waits for that line.
#[test]
fn a_node_that_has_just_started_takes_signals() {
    runtime().block_on(async {
        let mut world = SoakWorld::start(60_004, 1).await;
        for round in 0..3 {
            world.wait_for_start(0).await;
            world.signal(0, rustix::process::Signal::HUP);
            world.signal(0, rustix::process::Signal::TERM);
            let status = loop {
                tokio::time::sleep(Duration::from_millis(20)).await;
                if let Some(status) = world.ended(0) {
                    break status;
                }
            };
            assert!(status.success(), "round {round}: {status}");
            world.spawn(0);
        }
        world.close(false).await;
    });
}

/// A change of the configuration reaches nodes that do not watch the store themselves.
#[test]
fn followers_take_changes_over_within_a_second() {
    runtime().block_on(async {
        let mut world = SoakWorld::start(60_003, 6).await;
        tokio::time::sleep(START_TIME).await;
        let mut parts = Vec::new();
        for (round, set) in [1, 0, 1].into_iter().enumerate() {
            world.configure(set);
            tokio::time::sleep(Duration::from_secs(1)).await;
            for node in &world.nodes {
                let id = format!("round{round}x{}", node.address);
                parts.push(soak_caller::parts_once(node.address, &id).await);
            }
        }
        world.close(false).await;
        let expected = [8, 6, 8]
            .into_iter()
            .flat_map(|parts| vec![parts; 6])
            .collect::<Vec<_>>();
        assert_eq!(parts, expected);
    });
}

#[test]
fn promises_hold_under_random_faults() {
    let runtime = runtime();
    let mut failed = Vec::new();
    for seed in seeds() {
        for line in runtime.block_on(play(seed)) {
            println!("seed {seed}: {line}");
            failed.push(seed);
        }
    }
    failed.dedup();
    assert!(
        failed.is_empty(),
        "promises were broken with the seeds {failed:?}"
    );
}
