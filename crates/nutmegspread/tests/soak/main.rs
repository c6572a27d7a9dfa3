//! A randomized fault soak over real processes.
//!
//! `SOAK_SEEDS=100-150 SOAK_SECONDS=20 cargo test -p nutmegspread --test soak -- --nocapture`
//! plays other seeds; without the variables a short run with fixed seeds is played. `SOAK_NODES`
//! and `SOAK_CALLERS` set its size, up to 200 nodes. The logs of the nodes are kept where a promise
//! was broken, and always with `SOAK_KEEP=1`.

mod single_faults;
mod soak_caller;
mod soak_checks;
mod soak_faults;
mod soak_world;

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
/// Nodes and callers where `SOAK_NODES` and `SOAK_CALLERS` do not say.
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

/// A count from the environment.
fn count(variable: &str, default: usize) -> usize {
    std::env::var(variable).map_or(default, |text| {
        text.parse()
            .unwrap_or_else(|_| panic!("{variable} is a whole number, not {text:?}"))
    })
}

fn length() -> Duration {
    std::env::var("SOAK_SECONDS").map_or(SHORT_LENGTH, |text| {
        Duration::from_secs(text.parse().expect("SOAK_SECONDS is a whole number"))
    })
}

async fn play(seed: u64) -> Vec<String> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut world = SoakWorld::start(seed, count("SOAK_NODES", NODES)).await;
    tokio::time::sleep(START_TIME).await;
    let records = CallerRecords::default();
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let addresses: Vec<_> = world.nodes.iter().map(|node| node.address).collect();
    let callers: Vec<_> = (0..count("SOAK_CALLERS", CALLERS))
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

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime")
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
