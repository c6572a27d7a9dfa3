//! Sends a claimed order to one target.

use crate::traffic::TrafficState;
use nutmegspread_model::{MonotonicTime, RunState, ServiceName, TargetId};
use nutmegspread_policy::order::AttemptEnd;
use nutmegspread_policy::query::choose_version;
use nutmegspread_wire::target::OrderCall;
use rand::seq::IteratorRandom;
use std::sync::Arc;

/// Sends an order to a target of which this node owns a share, and says how it ended.
///
/// Nothing is handed to a connection after `send_by`.
pub async fn send_order(
    traffic: Arc<TrafficState>,
    service: ServiceName,
    call: OrderCall,
    send_by: MonotonicTime,
) -> AttemptEnd {
    if traffic.clock().now() >= send_by {
        return AttemptEnd::NotStarted;
    }
    let target = choose_target(&traffic, &service);
    let Some(runner) = target.and_then(|target| traffic.owned().find(&target)) else {
        return AttemptEnd::NotStarted;
    };
    let key = call.key.clone();
    match runner.order(call, send_by).await {
        Ok(reply) if reply.key == key => AttemptEnd::Ran(reply.result.into()),
        Ok(_) | Err((_, RunState::Unknown)) => AttemptEnd::Lost,
        Err((_, RunState::NotRun)) => AttemptEnd::NotStarted,
    }
}

/// Any target of the version that may take the order and of which this node owns a share.
fn choose_target(traffic: &TrafficState, service: &str) -> Option<TargetId> {
    let view = traffic.view();
    let service = view.services.get(service)?;
    let mut random = rand::rng();
    let version = choose_version(service, &mut random)?;
    let is_usable = |id: &TargetId| {
        let usable = service.usable_target(id, &version);
        usable.is_some_and(|target| !target.share.is_empty())
    };
    service
        .targets
        .keys()
        .filter(|id| is_usable(id))
        .choose(&mut random)
        .cloned()
}
