//! Sends a claimed order to one target, through the first owner of the target.

use crate::traffic::TrafficState;
use nutmegspread_model::{MonotonicTime, NodeId, RunState, ServiceName, TargetId};
use nutmegspread_policy::order::AttemptEnd;
use nutmegspread_policy::query::choose_version;
use nutmegspread_wire::peer::{SubOrder, SubOrderEnd};
use nutmegspread_wire::target::OrderCall;
use rand::seq::IteratorRandom;
use std::sync::Arc;
use std::time::Duration;

/// Time that an owner has, beyond the order's time limit, to report how the order ended.
const OWNER_GRACE: Duration = Duration::from_millis(50);

/// Target chosen for an order, and the owner that sends the order to it.
struct OrderRoute {
    target: TargetId,
    /// First owner of the target, the only one that also sends requests to it while it is cold;
    /// `None` if no owner is known.
    owner: Option<NodeId>,
}

/// Sends an order once, without retries, and returns how the attempt ended.
///
/// The order is not handed to a connection after `send_by`.
pub async fn send_order(
    traffic: Arc<TrafficState>,
    service: ServiceName,
    call: OrderCall,
    send_by: MonotonicTime,
) -> AttemptEnd {
    let remaining = send_by.saturating_sub(traffic.clock().now());
    let Some(route) = choose_route(&traffic, &service) else {
        return AttemptEnd::NotStarted;
    };
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    let order = SubOrder {
        target: route.target,
        call,
        remaining_ms,
    };
    let is_own_node = |owner: &NodeId| *owner == traffic.settings().node;
    let end = match route.owner.filter(|owner| !is_own_node(owner)) {
        Some(owner) => run_remote_order(&traffic, &owner, order).await,
        None => run_own_order(Arc::clone(&traffic), order).await,
    };
    match end {
        SubOrderEnd::Ran(result) => AttemptEnd::Ran(result.into()),
        SubOrderEnd::NotStarted => AttemptEnd::NotStarted,
        SubOrderEnd::Lost => AttemptEnd::Lost,
    }
}

/// Sends an order to a target of which this node owns a share.
pub async fn run_own_order(traffic: Arc<TrafficState>, order: SubOrder) -> SubOrderEnd {
    let SubOrder {
        target,
        call,
        remaining_ms,
    } = order;
    let Some(runner) = traffic.owned().find(&target) else {
        return SubOrderEnd::NotStarted;
    };
    if remaining_ms == 0 {
        return SubOrderEnd::NotStarted;
    }
    let deadline = traffic.clock().now() + Duration::from_millis(remaining_ms);
    let key = call.key.clone();
    match runner.order(call, deadline).await {
        Ok(reply) if reply.key == key => SubOrderEnd::Ran(reply.result),
        Ok(_) | Err((_, RunState::Unknown)) => SubOrderEnd::Lost,
        Err((_, RunState::NotRun)) => SubOrderEnd::NotStarted,
    }
}

/// Sends an order through a peer that owns a share of the target.
async fn run_remote_order(traffic: &TrafficState, owner: &NodeId, order: SubOrder) -> SubOrderEnd {
    let Some(address) = traffic.view().peers.get(owner).cloned() else {
        return SubOrderEnd::NotStarted;
    };
    let Ok(lease) = traffic.peers().stream(&address).await else {
        return SubOrderEnd::NotStarted;
    };
    let timeout = Duration::from_millis(order.remaining_ms) + OWNER_GRACE;
    match lease.client.order(order, timeout).await {
        Ok(end) => end,
        Err(_) => {
            traffic.peers().discard(&lease).await;
            SubOrderEnd::Lost
        }
    }
}

/// Chooses a version by its share of the traffic, and a random target of that version that accepts
/// work.
fn choose_route(traffic: &TrafficState, service: &str) -> Option<OrderRoute> {
    let view = traffic.view();
    let service = view.services.get(service)?;
    let mut random = rand::rng();
    let version = choose_version(service, None, &mut random)?;
    let targets = service.targets.keys();
    let target = targets.filter(|id| service.usable_target(id, &version).is_some());
    let target = target.choose(&mut random)?.clone();
    let owner = service.targets.get(&target)?.owners.first().cloned();
    Some(OrderRoute { target, owner })
}
