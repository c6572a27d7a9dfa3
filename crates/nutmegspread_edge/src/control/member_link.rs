//! Messages between nodes.

use crate::SharedState;
use crate::control::control_state::{ControlState, FOLLOWED_KINDS};
use crate::control::member_message::{decode_message, encode_message};
use crate::control::store_client::StoreClient;
use nutmegspread_platform::{ObjectKind, encode_record};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Time between messages to every other node.
const BEAT_TIME: Duration = Duration::from_millis(400);
/// Time between messages of a node that has just started, which the others wait to hear.
const FIRST_BEAT_TIME: Duration = Duration::from_millis(50);
/// Messages at that pace.
const FIRST_BEATS: u32 = 8;
/// Beats between messages of a node that callers are not sent to; others hardly depend on it.
const UNNAMED_BEATS: u32 = 3;
/// Shortest time between messages, so that changes in quick succession go out together.
const LEAST_GAP: Duration = Duration::from_millis(40);
/// Largest message in bytes; names of nodes and domains are short.
const MESSAGE_BYTES: usize = 2 * 1024;
/// Addresses of other nodes in an answer to a node that was not heard before.
const GREETING_ADDRESSES: usize = 8;
/// The same in each other message, so that all nodes are named in turn.
const BEAT_ADDRESSES: usize = 1;
/// Time between looks at the roster while no other node is heard.
const ROSTER_TIME: Duration = Duration::from_secs(5);
/// Time that other nodes get to answer a greeting before the roster is read.
const GREETING_TIME: Duration = Duration::from_millis(500);

/// Sends and takes messages for as long as the process runs.
pub async fn exchange_messages(
    socket: UdpSocket,
    state: Rc<RefCell<ControlState>>,
    shared: Arc<SharedState>,
    changed: Rc<Notify>,
    behind: Rc<Notify>,
) {
    let mut beat = tokio::time::interval(FIRST_BEAT_TIME);
    beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut beats: u32 = 0;
    let mut buffer = [0_u8; MESSAGE_BYTES];
    loop {
        tokio::select! {
            _ = beat.tick() => {
                state.borrow_mut().expire(Instant::now());
                beats = beats.wrapping_add(1);
                if beats == FIRST_BEATS {
                    beat = tokio::time::interval(BEAT_TIME);
                    beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
                }
                if beats < FIRST_BEATS
                    || state.borrow().is_named() || beats.is_multiple_of(UNNAMED_BEATS) {
                    send_to_all(&socket, &state).await;
                }
            }
            () = shared.leaving_changed.notified() => send_to_all(&socket, &state).await,
            () = changed.notified() => {
                tokio::time::sleep(LEAST_GAP).await;
                send_to_all(&socket, &state).await;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => match decode_message(&buffer[..length]) {
                    Ok(record) => {
                        let peers = record.peers;
                        let now = Instant::now();
                        let is_new = state.borrow_mut().hear(now, record);
                        if is_new && let Some(greeting) = message(&state, GREETING_ADDRESSES) {
                            send(&socket, &greeting, peers).await;
                        }
                        let is_behind = {
                            let state = state.borrow();
                            FOLLOWED_KINDS.iter().any(|kind| !state.ahead(now, *kind).is_empty())
                        };
                        if is_behind {
                            behind.notify_one();
                        }
                    }
                    Err(error) => log::warn!(event = "bad_message", from:% = from, reason:% = error;
                        "a message of another node cannot be read"),
                },
                // A port that was closed at the other end shows up here; the beat tells the rest.
                Err(error) => log::debug!(event = "receive_failed", reason:% = error; "no message"),
            }
        }
    }
}

async fn send_to_all(socket: &UdpSocket, state: &Rc<RefCell<ControlState>>) {
    let peers = state.borrow().peers();
    let Some(message) = message(state, BEAT_ADDRESSES) else {
        return;
    };
    for peer in peers {
        send(socket, &message, peer).await;
    }
}

/// The message of this node with some addresses of others.
fn message(state: &Rc<RefCell<ControlState>>, addresses: usize) -> Option<Vec<u8>> {
    let record = state.borrow_mut().message(addresses);
    encode_message(&record)
        .inspect_err(|error| log::error!(event = "send_failed", reason:% = error; "own record"))
        .ok()
}

async fn send(socket: &UdpSocket, message: &[u8], peer: SocketAddr) {
    if let Err(error) = socket.send_to(message, peer).await {
        log::debug!(event = "send_failed", peer:% = peer, reason:% = error; "not sent");
    }
}

/// Enters this node into the roster once it watches the store, and reads the roster while no
/// other node is heard.
pub async fn keep_roster(state: Rc<RefCell<ControlState>>, shared: Arc<SharedState>) {
    let mut client = StoreClient::new(shared.settings.load().store);
    let mut is_entered = false;
    tokio::time::sleep(GREETING_TIME).await;
    loop {
        let now = Instant::now();
        if state.borrow().is_alone(now) {
            shared
                .metrics
                .count("store_calls", ObjectKind::Members.name());
            match client.list(ObjectKind::Members, true).await {
                Ok((objects, revision)) => {
                    let mut state = state.borrow_mut();
                    state.take_list(Instant::now(), ObjectKind::Members, &objects, revision);
                }
                Err(error) => {
                    log::warn!(event = "roster_unread", reason:% = error; "roster not read");
                }
            }
        }
        if !is_entered && state.borrow_mut().is_watching(now) {
            is_entered = enter(&mut client, &state, &shared).await;
        }
        tokio::time::sleep(ROSTER_TIME).await;
    }
}

async fn enter(
    client: &mut StoreClient,
    state: &Rc<RefCell<ControlState>>,
    shared: &SharedState,
) -> bool {
    let own = state.borrow_mut().own_record();
    shared
        .metrics
        .count("store_calls", ObjectKind::Members.name());
    let entered = match encode_record(&own.node, &own.peers) {
        Ok(body) => client.put(ObjectKind::Members, &own.node, body).await,
        Err(error) => Err(error.into()),
    };
    if let Err(error) = &entered {
        log::warn!(event = "not_entered", reason:% = error; "this node is not in the roster yet");
    }
    entered.is_ok()
}
