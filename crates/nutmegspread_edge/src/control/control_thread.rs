//! Starts and stops the control thread.

use crate::control::control_state::{ControlState, FOLLOWED_KINDS};
use crate::control::member_link::{exchange_messages, keep_roster};
use crate::control::question_listener::{ListenerPurpose, answer_questions};
use crate::control::relay_follower::follow_nodes;
use crate::control::rollout_writer::write_rollouts;
use crate::control::store_follower::follow;
use crate::thread_runtime::thread_runtime;
use crate::{EdgeError, SharedState};
use nutmegspread_tier::MemberRecord;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, oneshot};
use tokio::task::LocalSet;

/// Stack of the control thread in bytes.
const CONTROL_STACK: usize = 512 * 1024;

/// The running control thread.
#[derive(Debug)]
pub struct ControlThread {
    stop: oneshot::Sender<()>,
    thread: std::thread::JoinHandle<()>,
}

impl ControlThread {
    /// Ends the thread and waits for it.
    pub fn close(self) {
        // The thread may have ended already.
        let _ = self.stop.send(());
        if self.thread.join().is_err() {
            log::error!(event = "control_failed"; "the control thread ended by itself");
        }
    }
}

/// Starts the control thread; its listeners stand when this returns.
///
/// # Errors
/// When an address cannot be listened on or the thread cannot be started.
pub fn start_control(shared: Arc<SharedState>) -> Result<ControlThread, EdgeError> {
    let (stop, stopped) = oneshot::channel();
    let (started, has_started) = sync_channel(1);
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .stack_size(CONTROL_STACK)
        .spawn(move || run_thread(shared, stopped, &started))
        .map_err(|source| EdgeError::Start {
            what: "the control thread",
            source,
        })?;
    match has_started.recv() {
        Ok(Ok(())) => Ok(ControlThread { stop, thread }),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(EdgeError::Start {
            what: "the control thread",
            source: std::io::Error::other("it ended while starting"),
        }),
    }
}

fn run_thread(
    shared: Arc<SharedState>,
    stopped: oneshot::Receiver<()>,
    started: &SyncSender<Result<(), EdgeError>>,
) {
    let runtime = match thread_runtime("the control runtime") {
        Ok(runtime) => runtime,
        Err(error) => {
            // The starter waits for exactly this.
            let _ = started.send(Err(error));
            return;
        }
    };
    LocalSet::new().block_on(&runtime, async {
        match start_tasks(shared).await {
            Ok(()) => {
                let _ = started.send(Ok(()));
                let _ = stopped.await;
            }
            Err(error) => {
                let _ = started.send(Err(error));
            }
        }
    });
}

async fn start_tasks(shared: Arc<SharedState>) -> Result<(), EdgeError> {
    let settings = shared.settings.load_full();
    let started_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64);
    let own = MemberRecord {
        node: settings.node.as_str().into(),
        started_ms,
        callers: settings.listen.callers,
        peers: settings.peers(),
        domain: settings.domain.as_str().into(),
        cores: settings.cores,
        ready: false,
        serves: true,
        reaches_store: true,
        revisions: Vec::new(),
        known: Vec::new(),
        rollouts: Vec::new(),
    };
    let state = Rc::new(RefCell::new(ControlState::new(
        Arc::clone(&shared),
        own,
        Instant::now(),
    )));
    let metrics = SocketAddr::new(settings.address, settings.metrics_port);
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
        tokio::task::spawn_local(answer_questions(
            listener,
            purpose,
            Rc::clone(&state),
            Arc::clone(&shared),
        ));
    }
    let peers = settings.peers();
    let socket = UdpSocket::bind(peers)
        .await
        .map_err(|source| EdgeError::Listen {
            address: peers,
            purpose: ListenerPurpose::Nodes.name(),
            source,
        })?;
    let (changed, behind) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    tokio::task::spawn_local(exchange_messages(
        socket,
        Rc::clone(&state),
        Arc::clone(&shared),
        Rc::clone(&changed),
        Rc::clone(&behind),
    ));
    tokio::task::spawn_local(follow_nodes(
        Rc::clone(&state),
        Arc::clone(&shared),
        behind,
        Rc::clone(&changed),
    ));
    tokio::task::spawn_local(keep_roster(Rc::clone(&state), Arc::clone(&shared)));
    tokio::task::spawn_local(write_rollouts(Rc::clone(&state), Arc::clone(&shared)));
    let regained = Rc::new(Notify::new());
    for kind in FOLLOWED_KINDS {
        tokio::task::spawn_local(follow(
            kind,
            Rc::clone(&state),
            Arc::clone(&shared),
            Rc::clone(&changed),
            Rc::clone(&regained),
        ));
    }
    Ok(())
}
