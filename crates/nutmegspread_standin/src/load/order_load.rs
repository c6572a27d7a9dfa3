//! Orders sent beside the queries, some of them by two nodes at once.

use super::arrival_schedule::arrival_offsets;
use super::node_caller::{NodeCaller, OrderEnding};
use indexmap::IndexMap;
use nutmegspread_model::{OrderRequest, ServiceName};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Orders a second.
const ORDER_RATE: f64 = 5.0;
/// One order in this many is sent twice at once.
const REPEAT_STRIDE: usize = 3;

/// Where orders go.
#[derive(Clone)]
pub struct OrderPlan {
    /// Service that takes orders.
    pub service: ServiceName,
    /// Callers to send them with.
    pub callers: Vec<Arc<NodeCaller>>,
    /// Text that keeps the keys of cases apart.
    pub prefix: String,
    /// Seed of the schedule.
    pub seed: u64,
}

/// Sends orders for a time and returns their endings by key.
pub async fn run_orders(
    plan: OrderPlan,
    start: Instant,
    length: Duration,
) -> IndexMap<String, Vec<OrderEnding>> {
    let mut calls = JoinSet::new();
    for (number, offset) in arrival_offsets(plan.seed, ORDER_RATE, length)
        .into_iter()
        .enumerate()
    {
        sleep_until(start + offset).await;
        let key = format!("{}-{number}", plan.prefix);
        let repeats = if number.is_multiple_of(REPEAT_STRIDE) {
            2
        } else {
            1
        };
        for repeat in 0..repeats {
            let caller = Arc::clone(&plan.callers[(number + repeat) % plan.callers.len()]);
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
