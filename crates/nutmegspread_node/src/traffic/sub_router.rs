//! Sends sub-requests to targets, through a node that owns a share of the target.

use super::TrafficState;
use nutmegspread_model::{NodeId, RunState, SubFailure, SubOutcome, SubSearch};
use std::sync::Arc;
use std::time::Duration;

/// Time that an owner gets after the deadline of a sub-request, to report how the sub-request ended.
const OWNER_GRACE: Duration = Duration::from_millis(20);

/// Runs a sub-request through the given owner of its target, or through this node if `owner` is `None`.
pub async fn run_sub_search(
    state: Arc<TrafficState>,
    owner: Option<NodeId>,
    sub: SubSearch,
) -> SubOutcome {
    let Some(owner) = owner.filter(|owner| *owner != state.settings().node) else {
        return run_local_sub_search(state, sub).await;
    };
    let Some(address) = state.view().peers.get(&owner).cloned() else {
        return not_run(SubFailure::OwnerLost);
    };
    run_remote_sub_search(&state, &address, sub).await
}

/// Runs a sub-request through this node's share of the target.
pub async fn run_local_sub_search(state: Arc<TrafficState>, sub: SubSearch) -> SubOutcome {
    let Some(runner) = state.owned().find(&sub.target) else {
        return not_run(SubFailure::NotOwner);
    };
    let remaining = Duration::from_millis(sub.request.remaining_ms);
    let deadline = state.clock().now() + remaining;
    runner.search(sub.request, sub.extra, deadline).await
}

async fn run_remote_sub_search(state: &TrafficState, address: &str, sub: SubSearch) -> SubOutcome {
    let Ok(stream) = state.peers().stream(address).await else {
        return not_run(SubFailure::OwnerLost);
    };
    let timeout = Duration::from_millis(sub.request.remaining_ms) + OWNER_GRACE;
    match stream.client.search(sub, timeout).await {
        Ok(outcome) => outcome,
        Err(_) => {
            state.peers().discard(&stream).await;
            SubOutcome::Failure {
                failure: SubFailure::OwnerLost,
                run: RunState::Unknown,
            }
        }
    }
}

fn not_run(failure: SubFailure) -> SubOutcome {
    SubOutcome::Failure {
        failure,
        run: RunState::NotRun,
    }
}
