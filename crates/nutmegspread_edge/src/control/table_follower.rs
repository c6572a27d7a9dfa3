//! Reads the tables of live nodes of hubs.

use crate::EdgeError;
use crate::control::call_connection::CallConnection;
use crate::control::control_clock;
use crate::control::control_node::ControlNode;
use crate::control::member_message::decode_table;
use crate::control::server_call::ServerCall;
use nutmegspread_tier::TableChanges;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;

/// Path prefix of calls for a table.
pub const TABLE_PATH: &str = "/members";
/// Longest wait for the answer to begin, or to go on.
const TABLE_TIMEOUT: Duration = Duration::from_millis(700);

/// Reads the changes of the followed tables whenever this node is behind. The nodes spread their
/// calls, as all of them hear of a change at the same time.
pub async fn follow_tables(node: Rc<ControlNode>) {
    let ControlNode { state, shared, .. } = &*node;
    loop {
        node.tables_behind.notified().await;
        let max_delay = state.borrow_mut().relay_call_spread(control_clock::now());
        if let Some(max_delay) = max_delay {
            let delay = max_delay.mul_f64(node.random.borrow_mut().random_range(0.0..1.0));
            tokio::time::sleep(delay).await;
        }
        let behind = state.borrow().tables_behind(control_clock::now());
        for (hub, address, version) in behind {
            shared.metrics.count("table_calls", "members");
            match call_table(&mut node.connect(address), version).await {
                Ok(changes) => {
                    let now = control_clock::now();
                    state.borrow_mut().apply_table(now, &hub, version, changes);
                }
                // The next heartbeat of the hub, or of another one, starts the next call.
                Err(error) => log::info!(event = "table_failed", hub:% = hub, reason:% = error;
                    "reading the live nodes from a hub failed"),
            }
        }
    }
}

async fn call_table(
    connection: &mut CallConnection,
    version: u64,
) -> Result<TableChanges, EdgeError> {
    let path = format!("{TABLE_PATH}/{version}");
    let call = ServerCall::get(path.clone(), TABLE_TIMEOUT);
    let answer = connection.call(call).await?;
    decode_table(&answer.body).map_err(|error| EdgeError::Connection {
        address: connection.address(),
        reason: format!("response to {path}: {error}"),
    })
}

/// Parses the path of a call for a table: the version that the caller knows.
pub fn parse_table_path(path: &str) -> Option<u64> {
    path.strip_prefix(TABLE_PATH)?
        .strip_prefix('/')?
        .parse()
        .ok()
}
