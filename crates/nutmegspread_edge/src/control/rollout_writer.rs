//! Writes the states of rollouts to the store.

use crate::EdgeError;
use crate::control::call_guard::CallGuard;
use crate::control::control_clock;
use crate::control::control_node::ControlNode;
use crate::control::control_state::ControlState;
use crate::control::store_client::StoreClient;
use nutmegspread_platform::{ObjectKind, encode_rollout_state};
use nutmegspread_tier::{RolloutOrder, RolloutState};
use std::rc::Rc;
use std::time::Duration;

/// Time between checks for states to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Writes rollout states for as long as the process runs, on the nodes that watch the store.
///
/// A write names the revision of its order, so that the store accepts only one of several
/// concurrent writes. If a write gets no answer, the watch shows whether it was applied, and it is
/// repeated if it was not. It is not sent once a later order is known, or a later era of the store,
/// in which the revision may belong to other contents.
pub async fn write_rollouts(node: Rc<ControlNode>) {
    let ControlNode { state, shared, .. } = &*node;
    let mut client = node.store_client();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let writes = due_writes(&mut state.borrow_mut());
        for (name, order, recorded) in writes {
            shared
                .metrics
                .count("store_calls", ObjectKind::Rollouts.name());
            let outcome = write(&node, &mut client, &name, &order, recorded).await;
            if outcome.is_ok() {
                let mut state = state.borrow_mut();
                state.rollouts.record_write(&name, &order, recorded);
            }
            match outcome {
                Ok(()) => log::info!(event = "rollout_written", service:% = order.service,
                    version = order.version, state:? = recorded, revision = order.revision;
                    "wrote the state of a rollout to the store"),
                Err(error) => log::warn!(event = "rollout_unwritten", service:% = order.service,
                    version = order.version, state:? = recorded, revision = order.revision,
                    reason:% = error;
                    "writing the state of a rollout failed; the watch reports the stored one"),
            }
        }
    }
}

/// Returns the states that this node should write now, each with the name of its object and its order.
fn due_writes(state: &mut ControlState) -> Vec<(String, RolloutOrder, RolloutState)> {
    let now = control_clock::now();
    if state.rollouts.is_empty() || !state.is_watching(now) {
        return Vec::new();
    }
    state.rollouts.writes(now)
}

async fn write(
    node: &Rc<ControlNode>,
    client: &mut StoreClient,
    name: &str,
    order: &RolloutOrder,
    state: RolloutState,
) -> Result<(), EdgeError> {
    let body = encode_rollout_state(order, state)?;
    let (guarded, guarded_name, guarded_order) = (Rc::clone(node), name.to_owned(), order.clone());
    let guard = CallGuard::new(move || {
        let state = guarded.state.borrow();
        state.rollouts.may_write(&guarded_name, &guarded_order)
    });
    let kind = ObjectKind::Rollouts;
    client.put_status(kind, name, body, Some(guard)).await
}
