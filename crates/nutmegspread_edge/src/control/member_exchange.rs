//! Exchange of heartbeats with the other nodes, and the roster by which nodes find each other.

use crate::control::control_clock;
use crate::control::control_node::ControlNode;
use crate::control::control_state::FOLLOWED_KINDS;
use crate::control::member_message::{decode_message, encode_message};
use crate::control::store_client::StoreClient;
use nutmegspread_platform::{ObjectKind, encode_record};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time between heartbeats of a node that has just started, because its peers wait for its first
/// ones.
const STARTUP_INTERVAL: Duration = Duration::from_millis(50);
/// Number of startup intervals after which the node changes to `HEARTBEAT_INTERVAL`.
const STARTUP_INTERVALS: u32 = 8;
/// Number of intervals between the heartbeats of a node that its peers hardly depend on.
const RARE_INTERVALS: u32 = 3;
/// Delay before a change is sent, so that changes in quick succession go into one heartbeat.
const CHANGE_DELAY: Duration = Duration::from_millis(40);
/// Number of peer addresses in the heartbeat that answers the first one of a new peer.
const GREETING_ADDRESSES: usize = 8;
/// Number of peer addresses in any other heartbeat; successive heartbeats carry different ones, so
/// that all peers' addresses are sent over time.
const HEARTBEAT_ADDRESSES: usize = 1;
/// Time between reads of the roster while no peer is live.
const ROSTER_INTERVAL: Duration = Duration::from_secs(5);
/// Time that peers have to answer the first heartbeats before the roster is read.
const GREETING_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends and receives heartbeats for as long as the process runs.
pub async fn exchange_heartbeats(node: Rc<ControlNode>) {
    let ControlNode { state, shared, .. } = &*node;
    let mut interval = tokio::time::interval(STARTUP_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut interval_count: u32 = 0;
    loop {
        tokio::select! {
            biased;
            _ = interval.tick() => {
                state.borrow_mut().expire(control_clock::now());
                interval_count = interval_count.wrapping_add(1);
                if interval_count == STARTUP_INTERVALS {
                    interval = tokio::time::interval(HEARTBEAT_INTERVAL);
                    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
                }
                if interval_count < STARTUP_INTERVALS
                    || state.borrow_mut().is_depended_on(control_clock::now())
                    || interval_count.is_multiple_of(RARE_INTERVALS) {
                    send_to_all(&node).await;
                }
            }
            () = shared.leaving_changed.notified() => send_to_all(&node).await,
            () = node.changed.notified() => {
                tokio::time::sleep(CHANGE_DELAY).await;
                send_to_all(&node).await;
            }
            received = (node.network.receive)() => match received {
                Ok((message, from)) => match decode_message(&message) {
                    Ok(record) => {
                        let peer = record.peers;
                        let now = control_clock::now();
                        let is_new = state.borrow_mut().apply_heartbeat(now, record);
                        if is_new
                            && let Some(greeting) = encode_heartbeat(&node, GREETING_ADDRESSES) {
                            send(&node, &greeting, peer).await;
                        }
                        for kind in FOLLOWED_KINDS {
                            if !state.borrow().peers_ahead(now, kind).is_empty() {
                                node.behind[&kind].notify_one();
                            }
                        }
                    }
                    Err(error) => log::warn!(event = "bad_message", from:% = from, reason:% = error;
                        "discarded a message that cannot be decoded"),
                },
                // A peer whose port is closed shows up as an error here. It needs no handling: the
                // peer expires when its heartbeats stop.
                Err(error) => log::debug!(event = "receive_failed", reason:% = error;
                    "receiving a heartbeat failed"),
            }
        }
    }
}

async fn send_to_all(node: &ControlNode) {
    let peers = node.state.borrow().peers();
    let Some(message) = encode_heartbeat(node, HEARTBEAT_ADDRESSES) else {
        return;
    };
    for peer in peers {
        send(node, &message, peer).await;
    }
}

/// Encodes a heartbeat with up to `address_count` addresses of peers; logs an error and returns
/// `None` if encoding fails.
fn encode_heartbeat(node: &ControlNode, address_count: usize) -> Option<Rc<[u8]>> {
    let record = node
        .state
        .borrow_mut()
        .heartbeat(control_clock::now(), address_count);
    encode_message(&record)
        .map(Rc::from)
        .inspect_err(|error| log::error!(event = "send_failed", reason:% = error; "encoding error"))
        .ok()
}

async fn send(node: &ControlNode, message: &Rc<[u8]>, peer: SocketAddr) {
    if let Err(error) = (node.network.send)(Rc::clone(message), peer).await {
        log::debug!(event = "send_failed", peer:% = peer, reason:% = error;
            "sending a heartbeat failed");
    }
}

/// Adds this node to the store's roster once it watches the store, and reads the roster while no
/// peer is live.
pub async fn maintain_roster(node: Rc<ControlNode>) {
    let ControlNode { state, shared, .. } = &*node;
    let mut client = node.store_client();
    let mut is_added = false;
    tokio::time::sleep(GREETING_TIMEOUT).await;
    loop {
        let now = control_clock::now();
        if state.borrow().has_no_live_peers(now) {
            shared
                .metrics
                .count("store_calls", ObjectKind::Members.name());
            match client.list(ObjectKind::Members, true).await {
                Ok((objects, revision)) => {
                    let mut state = state.borrow_mut();
                    state.apply_list(
                        control_clock::now(),
                        ObjectKind::Members,
                        &objects,
                        revision,
                    );
                }
                Err(error) => {
                    log::warn!(event = "roster_unread", reason:% = error;
                        "reading the roster failed; will retry");
                }
            }
        }
        if !is_added && state.borrow_mut().is_watching(now) {
            is_added = add_to_roster(&mut client, &node).await;
        }
        tokio::time::sleep(ROSTER_INTERVAL).await;
    }
}

async fn add_to_roster(client: &mut StoreClient, node: &ControlNode) -> bool {
    let own = node.state.borrow_mut().own_record(control_clock::now());
    node.shared
        .metrics
        .count("store_calls", ObjectKind::Members.name());
    let added = match encode_record(&own.node, &own.peers) {
        Ok(body) => client.put(ObjectKind::Members, &own.node, body).await,
        Err(error) => Err(error.into()),
    };
    if let Err(error) = &added {
        log::warn!(event = "not_entered", reason:% = error;
            "adding this node to the roster failed; will retry");
    }
    added.is_ok()
}
