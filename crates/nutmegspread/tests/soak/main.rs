//! Soak test: runs node processes under random faults and checks what callers and searchers recorded.
//!
//! `SOAK_SEEDS=100-150 SOAK_SECONDS=20 cargo test -p nutmegspread --test soak -- --nocapture`
//! runs other seeds for longer; without the variables, two fixed seeds run for a short time.
//! `SOAK_NODES` and `SOAK_CALLERS` set the number of nodes (at most 200) and of callers. The logs of
//! the nodes are kept if a promise was broken, and always with `SOAK_KEEP=1`. A promise is a property
//! that callers may rely on whatever fails, such as: an order runs at most once.

mod address_block;
mod broken_heads;
mod broken_statuses;
mod broken_targets;
mod configuration_findings;
mod delay_probe;
mod flood;
mod held_answers;
mod lost_responses;
mod odd_input;
mod restart_without_store;
mod second_copies;
mod single_faults;
mod soak_caller;
mod soak_checks;
mod soak_faults;
mod soak_world;
mod target_wishes;
mod tenant_keys;
mod usage_reports;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use soak_caller::{CallOutcome, CallRecords, run_caller};
use soak_checks::{SoakRecords, find_broken_promises};
use soak_faults::FaultDriver;
use soak_world::SoakWorld;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

/// Seeds that run without `SOAK_SEEDS`. A seed that fails is added here, with a comment on the cause.
const DEFAULT_SEEDS: [u64; 2] = [1, 2];
/// Time for which faults are injected without `SOAK_SECONDS`.
const DEFAULT_FAULT_TIME: Duration = Duration::from_secs(8);
/// Number of nodes without `SOAK_NODES`.
const DEFAULT_NODES: usize = 5;
/// Number of callers without `SOAK_CALLERS`.
const DEFAULT_CALLERS: usize = 10;
/// Time in which nodes connect to the store, to targets and to each other after their start.
const START_TIME: Duration = Duration::from_millis(1500);
/// Time after the end of the last fault within which nodes must serve requests as usual again.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time without faults at the end of a run, in which requests must be served.
const FAULT_FREE_TIME: Duration = Duration::from_secs(2);

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return DEFAULT_SEEDS.to_vec();
    };
    let (from, to) = text.split_once('-').unwrap_or((&text, &text));
    let parse = |text: &str| text.trim().parse::<u64>().expect("SOAK_SEEDS is N or N-M");
    (parse(from)..=parse(to)).collect()
}

/// Reads a number from an environment variable.
fn count_from_env(variable: &str, default: usize) -> usize {
    std::env::var(variable).map_or(default, |text| {
        text.parse()
            .unwrap_or_else(|_| panic!("{variable} is a whole number, not {text:?}"))
    })
}

fn fault_time() -> Duration {
    std::env::var("SOAK_SECONDS").map_or(DEFAULT_FAULT_TIME, |text| {
        Duration::from_secs(text.parse().expect("SOAK_SECONDS is a whole number"))
    })
}

/// Runs the soak with one seed and returns the broken promises, one per line.
async fn run_seed(seed: u64) -> Vec<String> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut world = SoakWorld::start(count_from_env("SOAK_NODES", DEFAULT_NODES)).await;
    tokio::time::sleep(START_TIME).await;
    let records = CallRecords::default();
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let addresses: Vec<_> = world.nodes.iter().map(|node| node.address).collect();
    let callers: Vec<_> = (0..count_from_env("SOAK_CALLERS", DEFAULT_CALLERS))
        .map(|number| {
            let addresses = addresses.clone();
            tokio::spawn(run_caller(
                seed,
                number,
                addresses,
                records.clone(),
                stopped.clone(),
            ))
        })
        .collect();
    let mut driver = FaultDriver::default();
    driver.run(&mut world, &mut random, fault_time()).await;
    driver.settle(&mut world).await;
    tokio::time::sleep(RECOVERY_TIME).await;
    let recovered_by = Instant::now();
    tokio::time::sleep(FAULT_FREE_TIME).await;
    stop.send_replace(true);
    for caller in callers {
        caller.await.expect("the caller task does not panic");
    }
    let records = SoakRecords {
        calls: records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone(),
        runs: world.ledger.runs(),
        faults: driver.spans,
        versions: world.versions.clone(),
        stops: driver.stops,
        drains: driver.drains,
        cuts: driver.cuts,
        arrivals: world.ledger.arrivals(),
        recovered_by,
    };
    let mut broken_promises = find_broken_promises(&records);
    broken_promises.append(&mut driver.broken_promises);
    let served = records
        .calls
        .iter()
        .filter(|record| matches!(record.outcome, CallOutcome::Answer { status: 200, .. }))
        .count();
    println!(
        "seed {seed}: {served} of {} requests served, {} spans, {} stops, {} drains, {} versions, {} broken",
        records.calls.len(),
        records.faults.len(),
        records.stops.len(),
        records.drains.len(),
        records.versions.len(),
        broken_promises.len()
    );
    if !broken_promises.is_empty() {
        for span in &records.faults {
            println!("  {} of {:?}: {:?}", span.name, span.node, span.kind);
        }
    }
    let keeps_logs = !broken_promises.is_empty() || std::env::var_os("SOAK_KEEP").is_some();
    world.close(keeps_logs).await;
    broken_promises
}

fn build_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts")
}

#[test]
fn promises_hold_under_random_faults() {
    let runtime = build_runtime();
    let mut failed_seeds = Vec::new();
    for seed in seeds() {
        for line in runtime.block_on(run_seed(seed)) {
            println!("seed {seed}: {line}");
            failed_seeds.push(seed);
        }
    }
    failed_seeds.dedup();
    assert!(
        failed_seeds.is_empty(),
        "promises were broken with the seeds {failed_seeds:?}"
    );
}
