//! Exchange of heartbeats with the other nodes, and the roster by which nodes find each other.

use crate::control::control_clock;
use crate::control::control_node::ControlNode;
use crate::control::member_message::{
    decode_message, encode_message, evidence_bytes, evidence_limits,
};
use crate::control::store_client::StoreClient;
use nutmegspread_platform::{ObjectKind, encode_record};
use nutmegspread_tier::{FleetPlace, MemberRecord, StorePosition};
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
/// Number of intervals between the heartbeats that also go to addresses at which no peer is known, in
/// a small fleet.
const MESH_SEARCH_INTERVALS: u32 = 4;
/// The same in a large fleet, whose nodes search more often while they hear no hub.
const SEARCH_INTERVALS: u32 = 12;
/// Delay before a change is sent, so that changes in quick succession go into one heartbeat.
const CHANGE_DELAY: Duration = Duration::from_millis(40);
/// Number of hub addresses in the heartbeat that answers the first one of a new peer.
const GREETING_ADDRESSES: usize = 8;
/// Number of hub addresses in any other heartbeat of a small fleet; successive heartbeats carry
/// different ones, so that all peers' addresses are sent over time.
const MESH_ADDRESSES: usize = 1;
/// Most messages of one heartbeat in a small fleet; those after the first carry evidence on rollouts.
const MESH_MESSAGES: usize = 4;
/// The same in a large fleet, in which each message goes to many nodes.
const LARGE_MESSAGES: usize = 1;
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
                let now = control_clock::now();
                if interval_count < STARTUP_INTERVALS
                    || interval_count.is_multiple_of(RARE_INTERVALS)
                    || state.borrow().is_searching(now)
                    || state.borrow_mut().is_depended_on(now) {
                    send_heartbeat(&node, is_search(&node, interval_count)).await;
                }
            }
            () = shared.leaving_changed.notified() => send_heartbeat(&node, false).await,
            () = node.era_risen.notified() => send_heartbeat(&node, false).await,
            () = node.changed.notified() => {
                tokio::time::sleep(CHANGE_DELAY).await;
                send_heartbeat(&node, false).await;
            }
            received = (node.network.receive)() => match received {
                Ok((message, from)) => match decode_message(&message) {
                    Ok(record) => {
                        let peer = record.peers;
                        let now = control_clock::now();
                        let is_misdirected = state.borrow().is_misdirected(now, &record);
                        let behind = state.borrow().kinds_behind(&record);
                        let has_table = record.table > 0;
                        let is_new = state.borrow_mut().apply_heartbeat(now, record);
                        if (is_new || is_misdirected)
                            && let Some(greeting) = encode_greeting(&node) {
                            send(&node, &greeting, peer).await;
                        }
                        for kind in behind {
                            node.behind[&kind].notify_one();
                        }
                        if has_table && !state.borrow().tables_behind(now).is_empty() {
                            node.tables_behind.notify_one();
                        }
                    }
                    Err(error) => {
                        shared.metrics.count("messages", "discarded");
                        log::warn!(event = "bad_message", from:% = from, reason:% = error;
                            "discarded a message that cannot be decoded");
                    }
                },
                // A peer whose port is closed shows up as an error here. It needs no handling: the
                // peer expires when its heartbeats stop.
                Err(error) => log::debug!(event = "receive_failed", reason:% = error;
                    "receiving a heartbeat failed"),
            }
        }
    }
}

/// Whether the heartbeat of an interval also goes to addresses at which no peer is known.
fn is_search(node: &ControlNode, interval_count: u32) -> bool {
    let now = control_clock::now();
    let state = node.state.borrow();
    let intervals = match state.place() {
        FleetPlace::Mesh => MESH_SEARCH_INTERVALS,
        FleetPlace::Hub | FleetPlace::Leaf => SEARCH_INTERVALS,
    };
    interval_count < STARTUP_INTERVALS
        || interval_count.is_multiple_of(intervals)
        || state.is_searching(now)
}

/// Sends a heartbeat to all its recipients, see [`ControlState::recipients`].
///
/// [`ControlState::recipients`]: crate::control::ControlState::recipients
async fn send_heartbeat(node: &ControlNode, is_search: bool) {
    let peers = node
        .state
        .borrow_mut()
        .recipients(control_clock::now(), is_search);
    for message in encode_heartbeat(node) {
        for peer in &peers {
            send(node, &message, *peer).await;
        }
    }
}

/// Encodes the messages of the next heartbeat.
fn encode_heartbeat(node: &ControlNode) -> Vec<Rc<[u8]>> {
    let now = control_clock::now();
    let mut state = node.state.borrow_mut();
    let (addresses, messages) = match state.place() {
        FleetPlace::Mesh => (MESH_ADDRESSES, MESH_MESSAGES),
        FleetPlace::Hub | FleetPlace::Leaf => (0, LARGE_MESSAGES),
    };
    let record = state.heartbeat(now, addresses);
    let limits = evidence_limits(&record, messages);
    let evidence = state.next_evidence(now, limits, evidence_bytes);
    let records = evidence.into_iter().map(|rollouts| MemberRecord {
        rollouts,
        ..record.clone()
    });
    records.filter_map(|record| encode(&record)).collect()
}

/// Encodes the heartbeat that answers the first one of a new peer.
fn encode_greeting(node: &ControlNode) -> Option<Rc<[u8]>> {
    let mut state = node.state.borrow_mut();
    encode(&state.heartbeat(control_clock::now(), GREETING_ADDRESSES))
}

/// Encodes a record; logs an error and returns `None` if that fails.
fn encode(record: &MemberRecord) -> Option<Rc<[u8]>> {
    encode_message(record)
        .map(Rc::from)
        .inspect_err(|error| log::error!(event = "send_failed", reason:% = error; "encoding error"))
        .ok()
}

async fn send(node: &ControlNode, message: &Rc<[u8]>, peer: SocketAddr) {
    node.shared.metrics.count("messages", "heartbeat");
    if let Err(error) = (node.network.send)(Rc::clone(message), peer).await {
        log::debug!(event = "send_failed", peer:% = peer, reason:% = error;
            "sending a heartbeat failed");
    }
}

/// Adds this node to the store's roster once it watches the store, and again in each later era of the
/// store; reads the roster while no peer is live.
pub async fn maintain_roster(node: Rc<ControlNode>) {
    let ControlNode { state, shared, .. } = &*node;
    let mut client = node.store_client();
    let mut added_in = None;
    tokio::time::sleep(GREETING_TIMEOUT).await;
    loop {
        let now = control_clock::now();
        if state.borrow().live_peers(now) == 0 {
            shared
                .metrics
                .count("store_calls", ObjectKind::Members.name());
            match client.list(ObjectKind::Members, true).await {
                Ok(list) => {
                    let position = StorePosition {
                        revision: list.revision,
                        ..Default::default()
                    };
                    state.borrow_mut().apply_list(
                        control_clock::now(),
                        ObjectKind::Members,
                        &list.objects,
                        position,
                    );
                }
                Err(error) => {
                    log::warn!(event = "roster_unread", reason:% = error;
                        "reading the roster failed; will retry");
                }
            }
        }
        let era = state.borrow().era();
        let is_missing = match added_in {
            None => state.borrow_mut().is_watching(now),
            // The store may have lost the entry in coming back from an older copy. A stale list is
            // cheap, and of the present era after a while.
            Some(added) if added < era && state.borrow().has_era_lasted(now, ROSTER_INTERVAL) => {
                let found = find_entry(&mut client, &node).await;
                added_in = if found == Some(true) {
                    Some(era)
                } else {
                    added_in
                };
                found == Some(false)
            }
            Some(_) => false,
        };
        let is_added = is_missing && add_to_roster(&mut client, &node).await;
        if is_added {
            added_in = Some(era);
        }
        tokio::time::sleep(ROSTER_INTERVAL).await;
    }
}

/// Whether a stale list of the roster has this node; `None` if it cannot be read.
async fn find_entry(client: &mut StoreClient, node: &ControlNode) -> Option<bool> {
    let own = node.state.borrow_mut().own_record(control_clock::now());
    node.shared
        .metrics
        .count("store_calls", ObjectKind::Members.name());
    let list = client.list(ObjectKind::Members, true).await.ok()?;
    Some(list.objects.iter().any(|entry| entry.name == *own.node))
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
