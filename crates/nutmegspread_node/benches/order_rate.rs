//! Measures how many orders per second one node answers on loopback, and how many reads and writes
//! of the platform that takes.

#[allow(
    dead_code,
    reason = "the benchmark uses only a part of the module, which the tests use as well"
)]
#[path = "../tests/order_path/order_world.rs"]
mod order_world;

use order_world::OrderWorld;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Duration of the measurement for each number of callers.
const RUN_TIME: Duration = Duration::from_secs(6);
/// Numbers of concurrent callers to measure; each caller sends its next order after the answer to
/// its previous one.
const CALLER_COUNTS: [usize; 4] = [1, 8, 32, 128];

/// Latencies of the answered orders and the number of refused orders.
#[derive(Default)]
struct LoadResult {
    latencies: Vec<Duration>,
    refused: usize,
}

async fn run_caller(world: Arc<OrderWorld>, name: String, end: Instant) -> LoadResult {
    let mut result = LoadResult::default();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let started_at = Instant::now();
        match world.order(0, &format!("{name}-{number}"), "urn").await {
            Ok(_) => result.latencies.push(started_at.elapsed()),
            Err(_) => result.refused += 1,
        }
    }
    result
}

async fn run_load(world: &Arc<OrderWorld>, callers: usize) {
    let before = world.platform.calls();
    let started_at = Instant::now();
    let end = started_at + RUN_TIME;
    let calls = (0..callers).map(|caller| {
        tokio::spawn(run_caller(
            Arc::clone(world),
            format!("load-{callers}-{caller}"),
            end,
        ))
    });
    let mut total = LoadResult::default();
    for call in calls.collect::<Vec<_>>() {
        let result = call.await.expect("the caller task panicked");
        total.latencies.extend(result.latencies);
        total.refused += result.refused;
    }
    let elapsed = started_at.elapsed().as_secs_f64();
    let after = world.platform.calls();
    let kind = "OrderJournal";
    let journal_calls =
        |calls: &indexmap::IndexMap<String, u64>| calls.get(kind).copied().unwrap_or(0);
    let writes = journal_calls(&after.writes_by_kind) - journal_calls(&before.writes_by_kind);
    let reads = journal_calls(&after.reads_by_kind) - journal_calls(&before.reads_by_kind);
    total.latencies.sort();
    let orders = total.latencies.len();
    let latency_at = |quantile: f64| {
        let index = (orders.saturating_sub(1) as f64 * quantile) as usize;
        total
            .latencies
            .get(index)
            .copied()
            .unwrap_or_default()
            .as_millis()
    };
    println!(
        "callers {callers:4}  orders/s {:7.1}  writes/s {:6.1}  reads/s {:5.1}  writes/order {:.2}  \
         p50 {} ms  p99 {} ms  refused {}",
        orders as f64 / elapsed,
        writes as f64 / elapsed,
        reads as f64 / elapsed,
        writes as f64 / orders.max(1) as f64,
        latency_at(0.5),
        latency_at(0.99),
        total.refused,
    );
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime cannot start");
    runtime.block_on(async {
        let world = Arc::new(OrderWorld::start(1).await);
        for callers in CALLER_COUNTS {
            run_load(&world, callers).await;
        }
        let world = Arc::into_inner(world).expect("a caller still uses the nodes");
        world.close().await;
    });
}
