//! Simulated network between the nodes, and between nodes and the store.

use crate::sim_world::SimWorld;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use indexmap::{IndexMap, IndexSet};
use nutmegspread_edge::EdgeError;
use nutmegspread_edge::control::{CallAnswer, CallConnection, ControlNetwork, ServerCall};
use nutmegspread_platform::{decode_era, headers};
use rand::Rng;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SimPlace {
    Store,
    Node(usize),
}

/// How the store treats the calls of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// Calls get no answer, also those that are waiting when this begins.
    Silent,
    /// Calls get status 503.
    Busy,
    /// Connections are reset.
    Reset,
}

/// How the calls that are waiting for an answer end early.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallBreak {
    #[default]
    None,
    /// The connection is closed, and the caller is told so unless the link is cut.
    Closed,
    /// The connection is lost and the caller is told nothing.
    Lost,
}

/// Ends waiting calls early, in the order in which they began.
#[derive(Debug, Default)]
pub struct CallBreaker {
    latest: Cell<CallBreak>,
    broken: Notify,
}

impl CallBreaker {
    /// Ends the calls that are waiting now.
    pub fn break_calls(&self, call_break: CallBreak) {
        self.latest.set(call_break);
        self.broken.notify_waiters();
    }
}

/// Faults of the links.
#[derive(Debug, Default)]
pub struct SimLinks {
    /// Links that carry nothing, by their direction.
    pub cut: IndexSet<(SimPlace, SimPlace)>,
    /// Nodes whose calls of the store fail.
    pub store_failures: IndexMap<usize, StoreFailure>,
    /// Fraction of the store's answers that are lost.
    pub lost_answers: f64,
    /// Fraction of the messages that each of these nodes loses in both directions.
    pub lossy: IndexMap<usize, f64>,
    /// Bytes per second that the link of a node carries, if that limits it.
    pub thin: IndexMap<usize, f64>,
}

impl SimLinks {
    fn is_cut(&self, from: SimPlace, to: SimPlace) -> bool {
        self.cut.contains(&(from, to))
    }

    /// Time that `bytes` need over the slower one of two links, besides the latency.
    fn transfer_time(&self, ends: [SimPlace; 2], bytes: usize) -> Duration {
        let rates = ends.iter().filter_map(|end| match end {
            SimPlace::Node(number) => self.thin.get(number).copied(),
            SimPlace::Store => None,
        });
        let slowest = rates.fold(f64::INFINITY, f64::min);
        Duration::from_secs_f64(bytes as f64 / slowest)
    }

    /// Fraction of the messages between two nodes that are lost.
    fn loss(&self, from: usize, to: usize) -> f64 {
        let of = |number| self.lossy.get(&number).copied().unwrap_or(0.0);
        of(from).max(of(to))
    }
}

/// Bytes of the headers of a packet.
const PACKET_BYTES: usize = 28;

/// Returns the network of node `own`.
pub fn sim_network(world: &Weak<SimWorld>, own: usize) -> ControlNetwork {
    let (connecting, sending, receiving) = (world.clone(), world.clone(), world.clone());
    ControlNetwork {
        connect: Box::new(move |address| {
            let world = connecting.clone();
            let exchange = move |call| {
                let world = world.clone();
                Box::pin(async move {
                    let world = world.upgrade().expect("the world outlives its nodes");
                    exchange_call(&world, own, address, call).await
                }) as _
            };
            CallConnection::new(address, Box::new(exchange))
        }),
        send: Box::new(move |message, peer| {
            let world = sending.upgrade().expect("the world outlives its nodes");
            world.messages.set(world.messages.get() + 1);
            let bytes = (message.len() + PACKET_BYTES) as u64;
            world.message_bytes.set(world.message_bytes.get() + bytes);
            let largest = world.largest_message.get().max(message.len());
            world.largest_message.set(largest);
            if let Some(to) = world.node_at(peer) {
                tokio::task::spawn_local(deliver(world, own, to, message));
            }
            Box::pin(async { Ok(()) })
        }),
        receive: Box::new(move || {
            let world = receiving.upgrade().expect("the world outlives its nodes");
            let inbox = Rc::clone(&world.nodes[own].inbox);
            Box::pin(async move {
                loop {
                    if let Some(received) = inbox.messages.borrow_mut().pop_front() {
                        return Ok(received);
                    }
                    inbox.arrived.notified().await;
                }
            })
        }),
    }
}

/// Delivers a message unless it is lost.
async fn deliver(world: Rc<SimWorld>, from: usize, to: usize, message: Rc<[u8]>) {
    let ends = [SimPlace::Node(from), SimPlace::Node(to)];
    let loss = world.links.borrow().loss(from, to);
    let is_lost = world.random.borrow_mut().random_bool(loss);
    tokio::time::sleep(world.latency()).await;
    if is_lost || world.links.borrow().is_cut(ends[0], ends[1]) || !world.nodes[to].is_running() {
        return;
    }
    let inbox = &world.nodes[to].inbox;
    let sender = world.nodes[from].address;
    inbox
        .messages
        .borrow_mut()
        .push_back((message.to_vec(), sender));
    inbox.arrived.notify_one();
}

/// Carries out a call of node `own`.
async fn exchange_call(
    world: &Rc<SimWorld>,
    own: usize,
    address: SocketAddr,
    call: ServerCall,
) -> Result<CallAnswer, EdgeError> {
    let server = match world.node_at(address) {
        Some(number) => SimPlace::Node(number),
        None => SimPlace::Store,
    };
    let (timeout, path) = (call.timeout, call.path.clone());
    let breaker = &world.breaks[&server_key(server, own)];
    let next_break = breaker.broken.notified();
    let broken = async {
        next_break.await;
        breaker.latest.get() == CallBreak::Closed
            && !world.links.borrow().is_cut(server, SimPlace::Node(own))
    };
    let answered = async {
        match server {
            SimPlace::Store => call_store(world, own, address, call).await,
            SimPlace::Node(peer) => call_peer(world, own, peer, address, call).await,
        }
    };
    let begun = async {
        tokio::select! {
        biased;
        is_told = broken => if is_told {
            Err(failure(address, "closed by the server"))
        } else {
            std::future::pending().await
        },
        answer = answered => answer,
        }
    };
    let (answer, transfer_time) = tokio::time::timeout(timeout, begun)
        .await
        .map_err(|_| EdgeError::no_response(address, &path, timeout))??;
    // The body arrives without a pause.
    tokio::time::sleep(transfer_time).await;
    Ok(answer)
}

/// Key of the breaker of the calls of a node to the store; calls to peers share one that
/// never breaks.
fn server_key(server: SimPlace, own: usize) -> Option<usize> {
    (server == SimPlace::Store).then_some(own)
}

/// Returns the answer of the store, and the time that its body takes.
async fn call_store(
    world: &SimWorld,
    own: usize,
    address: SocketAddr,
    call: ServerCall,
) -> Result<(CallAnswer, Duration), EdgeError> {
    let (node, store) = (SimPlace::Node(own), SimPlace::Store);
    tokio::time::sleep(world.latency()).await;
    pass_link(world, node, store).await;
    let failing = world.links.borrow().store_failures.get(&own).copied();
    match failing {
        None => {}
        Some(StoreFailure::Silent) => std::future::pending().await,
        Some(StoreFailure::Busy) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok((CallAnswer::new(status, Bytes::new()), Duration::ZERO));
        }
        Some(StoreFailure::Reset) => return Err(failure(address, "connection reset")),
    }
    let (status, stated, body) = world.store.answer(call.method, &call.path, call.body).await;
    let era = stated.get(headers::STORE_ERA);
    let era = decode_era(era.map(HeaderValue::as_bytes));
    let lost = world.links.borrow().lost_answers;
    let is_lost = world.random.borrow_mut().random_bool(lost);
    let time = world
        .links
        .borrow()
        .transfer_time([node, store], body.len());
    tokio::time::sleep(world.latency()).await;
    if is_lost {
        std::future::pending::<()>().await;
    }
    pass_link(world, store, node).await;
    Ok((CallAnswer { status, era, body }, time))
}

/// Returns the answer of a peer, and the time that its body takes.
async fn call_peer(
    world: &SimWorld,
    own: usize,
    peer: usize,
    address: SocketAddr,
    call: ServerCall,
) -> Result<(CallAnswer, Duration), EdgeError> {
    let ends = [SimPlace::Node(own), SimPlace::Node(peer)];
    world.relay_calls.set(world.relay_calls.get() + 1);
    tokio::time::sleep(world.latency()).await;
    pass_link(world, ends[0], ends[1]).await;
    while world.nodes[peer].is_frozen.get() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let Some(control) = world.nodes[peer].control() else {
        return Err(failure(address, "connection refused"));
    };
    let answer = control.answer_relay(&call.path);
    let time = world.links.borrow().transfer_time(ends, answer.body.len());
    tokio::time::sleep(world.latency()).await;
    pass_link(world, ends[1], ends[0]).await;
    Ok((answer, time))
}

/// Never returns if the link carries nothing now.
async fn pass_link(world: &SimWorld, from: SimPlace, to: SimPlace) {
    let is_cut = world.links.borrow().is_cut(from, to);
    if is_cut {
        std::future::pending::<()>().await;
    }
}

fn failure(address: SocketAddr, reason: &str) -> EdgeError {
    EdgeError::Connection {
        address,
        reason: reason.to_owned(),
    }
}
