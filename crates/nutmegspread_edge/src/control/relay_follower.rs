//! Gets the store's objects from other nodes.

use crate::EdgeError;
use crate::SharedState;
use crate::control::control_state::{ControlState, FOLLOWED_KINDS};
use crate::control::http_connection::HttpConnection;
use crate::control::relay_answer::RelayAnswer;
use bytes::Bytes;
use hyper::Method;
use indexmap::IndexMap;
use nutmegspread_platform::ObjectKind;
use rand::Rng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Path under which nodes tell each other what they know.
pub const RELAY_PATH: &str = "/objects";
/// Longest wait for another node's answer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after another node did not answer.
const RELAY_PAUSE: Duration = Duration::from_millis(60);
/// The furthest nodes among which one is drawn, which spreads the work.
const DRAWN_NODES: usize = 6;
/// Connections to other nodes that are kept.
const KEPT_CONNECTIONS: usize = 4;

/// Gets what other nodes know beyond this one, whenever `behind` says so.
///
/// Nodes that may watch ask at once and announce what they got through `changed`; the others wait
/// a little, so that they find more than the two watchers to ask.
pub async fn follow_nodes(
    state: Rc<RefCell<ControlState>>,
    shared: Arc<SharedState>,
    behind: Rc<Notify>,
    changed: Rc<Notify>,
) {
    let mut connections: IndexMap<SocketAddr, HttpConnection> = IndexMap::new();
    loop {
        behind.notified().await;
        let spread = state.borrow_mut().relay_spread(Instant::now());
        if let Some(spread) = spread {
            let wait = spread.mul_f64(rand::rng().random_range(0.0..1.0));
            tokio::time::sleep(wait).await;
        }
        for kind in FOLLOWED_KINDS {
            let ahead = state.borrow().ahead(Instant::now(), kind);
            if ahead.is_empty() {
                continue;
            }
            let source = ahead[rand::rng().random_range(0..ahead.len().min(DRAWN_NODES))];
            if connections.len() >= KEPT_CONNECTIONS && !connections.contains_key(&source) {
                connections.shift_remove_index(0);
            }
            let connection = connections
                .entry(source)
                .or_insert_with(|| HttpConnection::new(source));
            let revision = state.borrow().revision(kind).unwrap_or(0);
            shared.metrics.count("relay_calls", kind.name());
            match ask(connection, kind, revision).await {
                Ok(answer) => {
                    state.borrow_mut().take_relay(Instant::now(), kind, answer);
                    if spread.is_none() {
                        changed.notify_one();
                    }
                }
                Err(error) => {
                    log::info!(event = "relay_failed", kind = kind.name(), reason:% = error;
                        "another node did not tell what it knows");
                    shared.metrics.count("relay_failures", kind.name());
                    connections.shift_remove(&source);
                    state.borrow_mut().relay_failed(Instant::now());
                    tokio::time::sleep(RELAY_PAUSE).await;
                    behind.notify_one();
                }
            }
        }
    }
}

async fn ask(
    connection: &mut HttpConnection,
    kind: ObjectKind,
    revision: u64,
) -> Result<RelayAnswer, EdgeError> {
    let path = format!("{RELAY_PATH}/{}/{revision}", kind.name());
    let body = connection
        .call(Method::GET, &path, Bytes::new(), RELAY_TIMEOUT)
        .await?;
    serde_json::from_slice(&body).map_err(|error| EdgeError::Connection {
        address: connection.address(),
        reason: format!("answer to {path} cannot be read: {error}"),
    })
}

/// What another node asks for: the kind, and the revision that it has.
pub fn relay_question(path: &str) -> Option<(ObjectKind, u64)> {
    let (kind, revision) = path
        .strip_prefix(RELAY_PATH)?
        .strip_prefix('/')?
        .split_once('/')?;
    let kind = FOLLOWED_KINDS
        .into_iter()
        .find(|followed| followed.name() == kind)?;
    Some((kind, revision.parse().ok()?))
}
