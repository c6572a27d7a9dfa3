//! Sends a sub-request through a node that owns a share of its target.

use super::TrafficState;
use nutmegspread_model::{NodeId, RunState, SubFailure, SubOutcome, SubSearch};
use std::sync::Arc;
use std::time::Duration;

/// Extra time that an owner gets beyond the caller's deadline to state how a call ended.
const OWNER_GRACE: Duration = Duration::from_millis(20);

/// Runs a sub-request through an owner of its target; without one, through this node.
pub async fn run_sub_search(
    state: Arc<TrafficState>,
    owner: Option<NodeId>,
    sub: SubSearch,
) -> SubOutcome {
    let Some(owner) = owner.filter(|owner| *owner != state.settings().node) else {
        return run_own_sub_search(state, sub).await;
    };
    let Some(address) = state.view().peers.get(&owner).cloned() else {
        return not_run(SubFailure::OwnerLost);
    };
    run_remote_sub_search(&state, &address, sub).await
}

/// Runs a sub-request on a target of which this node owns a share.
pub async fn run_own_sub_search(state: Arc<TrafficState>, sub: SubSearch) -> SubOutcome {
    let Some(runner) = state.owned().find(&sub.target) else {
        return not_run(SubFailure::NotOwner);
    };
    let remaining = Duration::from_millis(sub.request.remaining_ms);
    let deadline = state.clock().now() + remaining;
    runner.search(sub.request, sub.extra, deadline).await
}

async fn run_remote_sub_search(state: &TrafficState, address: &str, sub: SubSearch) -> SubOutcome {
    let Ok(lease) = state.peers().stream(address).await else {
        return not_run(SubFailure::OwnerLost);
    };
    let within = Duration::from_millis(sub.request.remaining_ms) + OWNER_GRACE;
    match lease.client.search(sub, within).await {
        Ok(outcome) => outcome,
        Err(_) => {
            state.peers().discard(&lease).await;
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
