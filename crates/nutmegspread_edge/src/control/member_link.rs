//! Messages between nodes.

use crate::SharedState;
use crate::control::control_state::ControlState;
use crate::control::store_client::StoreClient;
use nutmegspread_platform::{ObjectKind, encode_record};
use nutmegspread_tier::MemberRecord;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Time between messages to every other node.
const BEAT_TIME: Duration = Duration::from_millis(400);
/// Largest message in bytes.
const MESSAGE_BYTES: usize = 2048;
/// Time after which a failed registration is tried again.
const REGISTER_PAUSE: Duration = Duration::from_secs(2);
/// Time between readings of the roster, which only matters where messages got lost.
const ROSTER_TIME: Duration = Duration::from_secs(12);

/// Sends and takes messages for as long as the process runs.
pub async fn exchange_messages(
    socket: UdpSocket,
    state: Rc<RefCell<ControlState>>,
    shared: Arc<SharedState>,
) {
    let mut beat = tokio::time::interval(BEAT_TIME);
    beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = [0_u8; MESSAGE_BYTES];
    loop {
        tokio::select! {
            _ = beat.tick() => {
                state.borrow_mut().expire(Instant::now());
                send_to_all(&socket, &state).await;
            }
            () = shared.leaving_changed.notified() => send_to_all(&socket, &state).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => match serde_json::from_slice::<MemberRecord>(&buffer[..length]) {
                    Ok(record) => {
                        let peers = record.peers;
                        let is_new = state.borrow_mut().hear(Instant::now(), record);
                        if is_new {
                            send_to(&socket, &state, peers).await;
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
    for peer in peers {
        send_to(socket, state, peer).await;
    }
}

async fn send_to(
    socket: &UdpSocket,
    state: &Rc<RefCell<ControlState>>,
    peer: std::net::SocketAddr,
) {
    let record = state.borrow_mut().own_record();
    match serde_json::to_vec(&record) {
        Ok(message) => {
            if let Err(error) = socket.send_to(&message, peer).await {
                log::debug!(event = "send_failed", peer:% = peer, reason:% = error; "not sent");
            }
        }
        Err(error) => log::error!(event = "send_failed", reason:% = error; "own record"),
    }
}

/// Enters this node into the roster in the store, and reads the roster.
pub async fn keep_roster(state: Rc<RefCell<ControlState>>, shared: Arc<SharedState>) {
    let mut client = StoreClient::new(shared.settings.load().store);
    let record = state.borrow_mut().own_record();
    loop {
        let entered = match encode_record(&record.node, &record) {
            Ok(body) => client.put(ObjectKind::Members, &record.node, body).await,
            Err(error) => Err(error.into()),
        };
        shared
            .metrics
            .count("store_calls", ObjectKind::Members.name());
        match entered {
            Ok(()) => break,
            Err(error) => log::warn!(event = "not_entered", reason:% = error;
                "this node is not in the roster yet"),
        }
        tokio::time::sleep(REGISTER_PAUSE).await;
    }
    loop {
        match client.list(ObjectKind::Members, true).await {
            Ok((objects, _)) => {
                state
                    .borrow_mut()
                    .take_list(Instant::now(), ObjectKind::Members, &objects);
            }
            Err(error) => log::warn!(event = "roster_unread", reason:% = error; "roster not read"),
        }
        shared.metrics.count("store_calls", "roster");
        tokio::time::sleep(ROSTER_TIME).await;
    }
}
