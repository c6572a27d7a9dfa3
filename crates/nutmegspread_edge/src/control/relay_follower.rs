//! Reads the store's objects from other nodes.

use crate::EdgeError;
use crate::control::call_connection::CallConnection;
use crate::control::configuration_intake::conceal_objects;
use crate::control::control_clock;
use crate::control::control_node::ControlNode;
use crate::control::control_state::FOLLOWED_KINDS;
use crate::control::relay_answer::RelayAnswer;
use crate::control::server_call::ServerCall;
use indexmap::IndexMap;
use nutmegspread_platform::ObjectKind;
use nutmegspread_tier::StorePosition;
use rand::Rng;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Path prefix of relay calls.
pub const RELAY_PATH: &str = "/objects";
/// Longest wait for the answer to a relay call to begin, or to go on.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed relay call.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(60);
/// A relay call goes to a random one of this many peers with the latest revisions, which spreads
/// the load.
const SOURCE_CANDIDATES: usize = 6;
/// Largest number of connections to peers that are kept open.
const MAX_CONNECTIONS: usize = 4;

/// Reads newer objects of one kind from peers whenever this node is behind.
///
/// Candidates for watching the store call at once and notify `changed`, so that their next
/// heartbeat announces the new revisions. The other nodes wait for a short random time, by which
/// more nodes than the two watchers have the changes.
pub async fn follow_peers(kind: ObjectKind, node: Rc<ControlNode>) {
    let ControlNode { state, shared, .. } = &*node;
    let mut connections: IndexMap<SocketAddr, CallConnection> = IndexMap::new();
    let mut failed_source = None;
    loop {
        node.behind[&kind].notified().await;
        let max_delay = state.borrow_mut().relay_call_spread(control_clock::now());
        if let Some(max_delay) = max_delay {
            let delay = max_delay.mul_f64(node.random.borrow_mut().random_range(0.0..1.0));
            tokio::time::sleep(delay).await;
        }
        let peers = state.borrow().peers_ahead(control_clock::now(), kind);
        let Some(source) = choose_source(&node, &peers, failed_source) else {
            continue;
        };
        if connections.len() >= MAX_CONNECTIONS && !connections.contains_key(&source) {
            connections.shift_remove_index(0);
        }
        let connection = connections
            .entry(source)
            .or_insert_with(|| node.connect(source));
        let known = if state
            .borrow()
            .needs_kept_configuration(control_clock::now(), kind)
        {
            // The peer has read the same position, so only a complete answer has what it keeps.
            StorePosition::default()
        } else {
            state.borrow().position(kind).unwrap_or_default()
        };
        shared.metrics.count("relay_calls", kind.name());
        match call_relay(connection, kind, known).await {
            Ok(answer) => {
                failed_source = None;
                state
                    .borrow_mut()
                    .apply_relay_answer(control_clock::now(), kind, answer);
                if max_delay.is_none() {
                    node.changed.notify_one();
                }
            }
            Err(error) => {
                log::info!(event = "relay_failed", kind = kind.name(), reason:% = error;
                    "relay call to a peer failed");
                shared.metrics.count("relay_failures", kind.name());
                connections.shift_remove(&source);
                failed_source = Some(source);
                tokio::time::sleep(RELAY_RETRY_DELAY).await;
                node.behind[&kind].notify_one();
            }
        }
    }
}

/// Chooses one of the peers with the latest changes at random, if possible another one than the peer
/// that has just failed.
fn choose_source(
    node: &ControlNode,
    peers: &[SocketAddr],
    failed: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let sound: Vec<SocketAddr> = peers
        .iter()
        .copied()
        .filter(|peer| Some(*peer) != failed)
        .collect();
    let candidates = if sound.is_empty() { peers } else { &sound };
    if candidates.is_empty() {
        return None;
    }
    let latest = candidates.len().min(SOURCE_CANDIDATES);
    Some(candidates[node.random.borrow_mut().random_range(0..latest)])
}

async fn call_relay(
    connection: &mut CallConnection,
    kind: ObjectKind,
    known: StorePosition,
) -> Result<RelayAnswer, EdgeError> {
    let path = relay_path(kind, known);
    let call = ServerCall::get(path.clone(), RELAY_TIMEOUT);
    let answer = connection.call(call).await?;
    let answer = serde_json::from_slice(&answer.body);
    let mut answer: RelayAnswer = answer.map_err(|error| EdgeError::Connection {
        address: connection.address(),
        reason: format!("response to {path} cannot be decoded: {error}"),
    })?;
    // Nodes of an earlier release relay configurations with the keys.
    let contents = answer.objects.iter_mut();
    conceal_objects(kind, contents.filter_map(|object| object.contents.as_mut()));
    Ok(answer)
}

/// Path of a relay call of a node that knows a kind up to `known`. It names the era only if the store
/// states one.
fn relay_path(kind: ObjectKind, known: StorePosition) -> String {
    let StorePosition { era, revision } = known;
    match era {
        0 => format!("{RELAY_PATH}/{}/{revision}", kind.name()),
        _ => format!("{RELAY_PATH}/{}/{era}.{revision}", kind.name()),
    }
}

/// Parses the path of a relay call: the kind, and the position up to which the peer knows it.
pub fn parse_relay_path(path: &str) -> Option<(ObjectKind, StorePosition)> {
    let (kind, position) = path
        .strip_prefix(RELAY_PATH)?
        .strip_prefix('/')?
        .split_once('/')?;
    let kind = FOLLOWED_KINDS
        .into_iter()
        .find(|followed| followed.name() == kind)?;
    let (era, revision) = position.split_once('.').unwrap_or(("0", position));
    let (era, revision) = (era.parse().ok()?, revision.parse().ok()?);
    Some((kind, StorePosition { era, revision }))
}
