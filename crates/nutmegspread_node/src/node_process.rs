//! Starts a whole node and performs its planned stop.

use crate::control::{ControlDependencies, ControlHandle, start_control};
use crate::operator::operator_router;
use crate::order::run_own_order;
use crate::telemetry::open_metrics;
use crate::traffic::{
    CallerServer, TrafficSettings, TrafficState, caller_router, run_local_sub_search,
};
use crate::{NodeError, NodeSettings, ProcessClock};
use axum::Router;
use nutmegspread_caller::CallerGate;
use nutmegspread_wire::peer::{PeerHandlers, PeerServer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// How often a planned stop checks whether all requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay between the end of the last request and the stop, so that the last replies to other nodes
/// are still sent.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// A running node: one control thread, a traffic runtime and three listeners.
pub struct NodeProcess {
    settings: NodeSettings,
    clock: ProcessClock,
    control: ControlHandle,
    traffic: Arc<TrafficState>,
    runtime: Runtime,
    peer_server: PeerServer,
    stop: watch::Sender<bool>,
    listeners: Vec<JoinHandle<()>>,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
}

impl NodeProcess {
    /// Opens the listeners and starts to serve requests.
    ///
    /// # Errors
    /// Fails if an address can't be listened on, or if a runtime, the metrics or the control thread can't
    /// be started.
    pub fn start(settings: NodeSettings) -> Result<Self, NodeError> {
        let clock = ProcessClock::default();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let metrics = open_metrics(settings.statsd.as_deref())?;
        let incarnation = process_incarnation();
        let traffic_settings = TrafficSettings {
            node: settings.node.clone(),
            domain: settings.domain.clone(),
            incarnation,
            ..TrafficSettings::default()
        };
        let (warmth_sender, warmth_reports) = mpsc::unbounded_channel();
        let handle = runtime.handle().clone();
        let traffic = TrafficState::new(traffic_settings, clock, handle, warmth_sender, metrics);
        let caller_listener = runtime.block_on(listen("caller_listen", &settings.caller_listen))?;
        let operator_listener =
            runtime.block_on(listen("operator_listen", &settings.operator_listen))?;
        let caller_address = caller_listener.local_addr()?;
        let operator_address = operator_listener.local_addr()?;
        let control = ControlHandle::default();
        let peer_server = runtime.block_on(start_peer_server(&settings, &traffic, &control))?;
        let dependencies = ControlDependencies {
            clock,
            incarnation,
            traffic: Arc::clone(&traffic),
            traffic_runtime: runtime.handle().clone(),
            warmth_reports,
            caller_address,
            peer_address: peer_server.address(),
        };
        start_control(&settings, dependencies, &control)?;
        let (stop, stopped) = watch::channel(false);
        let caller_server = CallerServer {
            routes: caller_router(Arc::clone(&traffic), control.clone()),
            gate: CallerGate::new(settings.caller_settings()),
            head_time: settings.header_timeout,
            traffic: Arc::clone(&traffic),
        };
        let operator_routes = operator_router(control.clone(), &traffic, &settings.operator_token);
        let listeners = vec![
            runtime.spawn(caller_server.serve(caller_listener, stopped.clone())),
            runtime.spawn(serve(operator_listener, operator_routes, stopped)),
        ];
        log::info!(node = &*settings.node, incarnation = incarnation; "node started");
        Ok(Self {
            settings,
            clock,
            control,
            traffic,
            runtime,
            peer_server,
            stop,
            listeners,
            caller_address,
            operator_address,
        })
    }

    /// Address of the listener for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address of the listener for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Address of the listener for other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_server.address()
    }

    /// Performs a planned stop. The node announces that it is leaving and serves until callers and other
    /// nodes should no longer send it requests, then finishes the requests in flight.
    ///
    /// Returns whether every request ended before the stop limit.
    pub async fn close(mut self) -> bool {
        let limit = self.clock.now() + self.settings.stop_limit;
        log::info!(node = &*self.settings.node; "planned stop started");
        self.control.leave().await;
        tokio::time::sleep(self.settings.leave_duration()).await;
        // The listeners accept no more connections and finish the requests that they have received.
        self.stop.send_replace(true);
        let listeners = std::mem::take(&mut self.listeners);
        let finished = async {
            for listener in listeners {
                // A listener that panicked has no requests left to finish.
                let _ = listener.await;
            }
            while self.traffic.in_flight() > 0 {
                tokio::time::sleep(STOP_POLL_INTERVAL).await;
            }
            tokio::time::sleep(FLUSH_DELAY).await;
        };
        let in_time = tokio::time::timeout_at(self.clock.instant_at(limit), finished)
            .await
            .is_ok();
        self.control.stop().await;
        self.peer_server.close();
        self.runtime.shutdown_background();
        log::info!(node = &*self.settings.node, in_time = in_time; "node stopped");
        in_time
    }
}

fn process_incarnation() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

async fn listen(field: &'static str, address: &str) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| NodeError::Listen {
            field,
            address: address.into(),
            source,
        })
}

async fn start_peer_server(
    settings: &NodeSettings,
    traffic: &Arc<TrafficState>,
    control: &ControlHandle,
) -> Result<PeerServer, NodeError> {
    let traffic = Arc::clone(traffic);
    let orders = Arc::clone(&traffic);
    let control = control.clone();
    let handlers = PeerHandlers {
        search: move |sub| {
            track_in_flight(&traffic, run_local_sub_search(Arc::clone(&traffic), sub))
        },
        order: move |order| track_in_flight(&orders, run_own_order(Arc::clone(&orders), order)),
        deliver: move |envelope| {
            let control = control.clone();
            async move { control.deliver(envelope).await }
        },
    };
    Ok(PeerServer::start(&settings.peer_listen, handlers).await?)
}

/// Counts a request of another node as in flight until `work` has ended.
fn track_in_flight<F: Future>(
    traffic: &Arc<TrafficState>,
    work: F,
) -> impl Future<Output = F::Output> + use<F> {
    let guard = traffic.track_request();
    async move {
        let output = work.await;
        drop(guard);
        output
    }
}

async fn serve(listener: TcpListener, router: Router, mut stopped: watch::Receiver<bool>) {
    let shutdown = async move {
        // An error means that the sender, which the node owns, was dropped; that stops the listener as
        // well.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    };
    if let Err(error) = axum::serve(listener, router)
        .with_graceful_shutdown(shutdown)
        .await
    {
        log::error!("listener failed and serves no more requests: {error}");
    }
}
