//! Reads the store's objects from other nodes.

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

/// Path prefix of relay calls.
pub const RELAY_PATH: &str = "/objects";
/// Longest wait for the answer to a relay call.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed relay call.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(60);
/// A relay call goes to a random one of this many peers with the latest revisions, which spreads
/// the load.
const SOURCE_CANDIDATES: usize = 6;
/// Largest number of connections to peers that are kept open.
const MAX_CONNECTIONS: usize = 4;

/// Reads newer objects from peers whenever `behind` is notified.
///
/// Candidates for watching the store call at once and notify `changed`, so that their next
/// heartbeat announces the new revisions. The other nodes wait for a short random time, by which
/// more nodes than the two watchers have the changes.
pub async fn follow_peers(
    state: Rc<RefCell<ControlState>>,
    shared: Arc<SharedState>,
    behind: Rc<Notify>,
    changed: Rc<Notify>,
) {
    let mut connections: IndexMap<SocketAddr, HttpConnection> = IndexMap::new();
    loop {
        behind.notified().await;
        let max_delay = state.borrow_mut().relay_call_spread(Instant::now());
        if let Some(max_delay) = max_delay {
            let delay = max_delay.mul_f64(rand::rng().random_range(0.0..1.0));
            tokio::time::sleep(delay).await;
        }
        for kind in FOLLOWED_KINDS {
            let peers = state.borrow().peers_ahead(Instant::now(), kind);
            if peers.is_empty() {
                continue;
            }
            let source = peers[rand::rng().random_range(0..peers.len().min(SOURCE_CANDIDATES))];
            if connections.len() >= MAX_CONNECTIONS && !connections.contains_key(&source) {
                connections.shift_remove_index(0);
            }
            let connection = connections
                .entry(source)
                .or_insert_with(|| HttpConnection::new(source));
            let revision = state.borrow().revision(kind).unwrap_or(0);
            shared.metrics.count("relay_calls", kind.name());
            match call_relay(connection, kind, revision).await {
                Ok(answer) => {
                    state
                        .borrow_mut()
                        .apply_relay_answer(Instant::now(), kind, answer);
                    if max_delay.is_none() {
                        changed.notify_one();
                    }
                }
                Err(error) => {
                    log::info!(event = "relay_failed", kind = kind.name(), reason:% = error;
                        "relay call to a peer failed");
                    shared.metrics.count("relay_failures", kind.name());
                    connections.shift_remove(&source);
                    state.borrow_mut().record_relay_failure(Instant::now());
                    tokio::time::sleep(RELAY_RETRY_DELAY).await;
                    behind.notify_one();
                }
            }
        }
    }
}

async fn call_relay(
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
        reason: format!("response to {path} cannot be decoded: {error}"),
    })
}

/// Parses the path of a relay call: the kind, and the revision up to which the peer knows it.
pub fn parse_relay_path(path: &str) -> Option<(ObjectKind, u64)> {
    let (kind, revision) = path
        .strip_prefix(RELAY_PATH)?
        .strip_prefix('/')?
        .split_once('/')?;
    let kind = FOLLOWED_KINDS
        .into_iter()
        .find(|followed| followed.name() == kind)?;
    Some((kind, revision.parse().ok()?))
}
