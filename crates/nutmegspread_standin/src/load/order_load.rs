//! Sends orders while the queries run, some of them through two callers at once.

use super::arrival_schedule::arrival_offsets;
use super::node_caller::{NodeCaller, OrderEnding};
use indexmap::IndexMap;
use nutmegspread_model::{OrderRequest, ServiceName};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Orders per second.
const ORDER_RATE: f64 = 5.0;
/// Every third order is sent twice at the same time, to check that it runs at most once.
const REPEAT_STRIDE: usize = 3;

/// Service, callers and schedule of the orders of one case.
#[derive(Clone)]
pub struct OrderPlan {
    /// Service that runs the orders.
    pub service: ServiceName,
    /// Callers that send the orders in turn.
    pub callers: Vec<Arc<NodeCaller>>,
    /// Start of each idempotency key; makes the keys of this run differ from those of others.
    pub key_prefix: String,
    /// Seed of the arrival schedule.
    pub seed: u64,
}

/// Sends orders for `duration` from `start` and returns the endings of each idempotency key.
pub async fn run_orders(
    plan: OrderPlan,
    start: Instant,
    duration: Duration,
) -> IndexMap<String, Vec<OrderEnding>> {
    let mut calls = JoinSet::new();
    for (number, offset) in arrival_offsets(plan.seed, ORDER_RATE, duration)
        .into_iter()
        .enumerate()
    {
        sleep_until(start + offset).await;
        let key = format!("{}-{number}", plan.key_prefix);
        let copies = if number.is_multiple_of(REPEAT_STRIDE) {
            2
        } else {
            1
        };
        for copy in 0..copies {
            let caller = Arc::clone(&plan.callers[(number + copy) % plan.callers.len()]);
            calls.spawn(send_order(caller, plan.service.clone(), key.clone()));
        }
    }
    let mut endings: IndexMap<String, Vec<OrderEnding>> = IndexMap::new();
    while let Some(call) = calls.join_next().await {
        if let Ok((key, ending)) = call {
            endings.entry(key).or_default().push(ending);
        }
    }
    endings
}

async fn send_order(
    caller: Arc<NodeCaller>,
    service: ServiceName,
    key: String,
) -> (String, OrderEnding) {
    let request = OrderRequest {
        route: super::service_plan::LOAD_ROUTES[0].into(),
        body: key.clone(),
        issued_at: SystemTime::now(),
    };
    let ending = caller.order(&service, &key, &request).await;
    (key, ending)
}
