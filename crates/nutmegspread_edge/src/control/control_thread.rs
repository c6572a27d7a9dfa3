//! Starts and stops the control thread.

use crate::control::control_listener::{ListenerPurpose, serve_listener};
use crate::control::control_network::ControlNetwork;
use crate::control::control_node::ControlNode;
use crate::control::usage_exchange::flush_counts;
use crate::thread_runtime::thread_runtime;
use crate::{EdgeError, SharedState};
use rand::Rng;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// Stack of the control thread in bytes.
const CONTROL_STACK: usize = 512 * 1024;

/// Longest time for sending the last counts of usage when the node stops.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Handle to the running control thread.
#[derive(Debug)]
pub struct ControlThread {
    /// Sends the time by which the thread has to end.
    stop: oneshot::Sender<Instant>,
    /// Disconnected when the thread ends.
    ended: Receiver<()>,
    thread: std::thread::JoinHandle<()>,
}

impl ControlThread {
    /// Stops the thread and waits for its end, until `end_time` at most. An overloaded machine may not run
    /// the thread for seconds, and the process has to end before it is killed.
    pub fn close(self, end_time: Instant) {
        // Sending fails if the thread has already ended; `join` reports a panic.
        let _ = self.stop.send(end_time);
        let wait = end_time.saturating_duration_since(Instant::now());
        if self.ended.recv_timeout(wait) == Err(RecvTimeoutError::Timeout) {
            log::warn!(event = "control_unfinished";
                "the control thread did not end in time; the process ends without it");
            return;
        }
        if self.thread.join().is_err() {
            log::error!(event = "control_failed"; "the control thread panicked");
        }
    }
}

/// Starts the control thread. Its listeners accept connections when this function returns.
///
/// # Errors
/// When an address cannot be bound, or the thread or its runtime cannot be started.
pub fn start_control(shared: Arc<SharedState>) -> Result<ControlThread, EdgeError> {
    let (stop, stopped) = oneshot::channel();
    let (startup, startup_result) = sync_channel(1);
    let (end_sender, ended) = sync_channel(0);
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .stack_size(CONTROL_STACK)
        .spawn(move || {
            // Dropped at the end of the thread, also if it panics.
            let _end_sender = end_sender;
            run_thread(shared, stopped, &startup);
        })
        .map_err(|source| EdgeError::Start {
            what: "the control thread",
            source,
        })?;
    match startup_result.recv() {
        Ok(Ok(())) => Ok(ControlThread {
            stop,
            ended,
            thread,
        }),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(EdgeError::Start {
            what: "the control thread",
            source: std::io::Error::other("the thread ended during startup"),
        }),
    }
}

fn run_thread(
    shared: Arc<SharedState>,
    stopped: oneshot::Receiver<Instant>,
    startup: &SyncSender<Result<(), EdgeError>>,
) {
    let runtime = match thread_runtime("the control runtime") {
        Ok(runtime) => runtime,
        Err(error) => {
            // `start_control` is waiting on this channel, so the send cannot fail.
            let _ = startup.send(Err(error));
            return;
        }
    };
    LocalSet::new().block_on(&runtime, async {
        match start_tasks(shared).await {
            Ok(node) => {
                let _ = startup.send(Ok(()));
                // Without a sender, the node is not stopped as planned, and has no time left.
                let end_time = stopped.await.unwrap_or_else(|_| Instant::now());
                let flush_by = end_time.min(Instant::now() + FLUSH_TIMEOUT);
                // What is not sent in time is lost.
                let _ = tokio::time::timeout_at(flush_by.into(), flush_counts(&node)).await;
            }
            Err(error) => {
                let _ = startup.send(Err(error));
            }
        }
    });
}

async fn start_tasks(shared: Arc<SharedState>) -> Result<Rc<ControlNode>, EdgeError> {
    let settings = shared.settings.load_full();
    let started_ms = shared.started_ms;
    let own = settings.member_record(started_ms);
    let metrics = SocketAddr::new(settings.address, settings.metrics_port);
    let peers = settings.peers();
    let socket = UdpSocket::bind(peers)
        .await
        .map_err(|source| EdgeError::Listen {
            address: peers,
            purpose: ListenerPurpose::Nodes.name(),
            source,
        })?;
    let network = ControlNetwork::new(socket);
    let seed = rand::rng().random();
    let node = Rc::new(ControlNode::new(shared, own, network, seed));
    let listeners = [
        (settings.listen.ready, ListenerPurpose::Readiness),
        (settings.listen.addresses, ListenerPurpose::Addresses),
        (metrics, ListenerPurpose::Metrics),
        (settings.peers(), ListenerPurpose::Nodes),
    ];
    for (address, purpose) in listeners {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| EdgeError::Listen {
                address,
                purpose: purpose.name(),
                source,
            })?;
        tokio::task::spawn_local(serve_listener(listener, purpose, Rc::clone(&node)));
    }
    for follower in node.followers() {
        tokio::task::spawn_local(follower);
    }
    Ok(node)
}
