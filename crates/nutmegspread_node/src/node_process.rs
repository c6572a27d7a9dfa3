//! Start and planned stop of a whole node.

use crate::control::{ControlDependencies, ControlHandle, start_control};
use crate::operator::operator_router;
use crate::order::run_own_order;
use crate::telemetry::open_metrics;
use crate::traffic::{TrafficSettings, TrafficState, caller_router, run_own_sub_search};
use crate::{NodeError, NodeSettings, ProcessClock};
use axum::Router;
use nutmegspread_wire::peer::{PeerHandlers, PeerServer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// How often a planned stop looks whether all requests have ended.
const STOP_POLL: Duration = Duration::from_millis(10);
/// Time for the last answers to other nodes to leave the process.
const FLUSH_TIME: Duration = Duration::from_millis(50);

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
    /// Opens the listeners and starts serving.
    ///
    /// # Errors
    /// When an address cannot be listened on, or a runtime or the metrics cannot start.
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
        let peer_server = runtime.block_on(start_peers(&settings, &traffic, &control))?;
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
        let callers = caller_router(Arc::clone(&traffic), control.clone());
        let operators = operator_router(control.clone(), &traffic, &settings.operator_token);
        let listeners = vec![
            runtime.spawn(serve(caller_listener, callers, stopped.clone())),
            runtime.spawn(serve(operator_listener, operators, stopped)),
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

    /// Address of the callers' listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address of the operators' listener.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Address of the listener for other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_server.address()
    }

    /// Stops as planned: announces it, serves until every caller and node has heard of it, then
    /// finishes the requests in flight.
    ///
    /// Returns whether every request ended before the stop limit.
    pub async fn close(mut self) -> bool {
        let limit = self.clock.now() + self.settings.stop_limit;
        log::info!(node = &*self.settings.node; "stopping as planned");
        self.control.leave().await;
        tokio::time::sleep(self.settings.leave_duration()).await;
        // The listeners stop accepting and finish what they have.
        self.stop.send_replace(true);
        let listeners = std::mem::take(&mut self.listeners);
        let finished = async {
            for listener in listeners {
                // A panicked listener has nothing left to finish.
                let _ = listener.await;
            }
            while self.traffic.in_flight() > 0 {
                tokio::time::sleep(STOP_POLL).await;
            }
            tokio::time::sleep(FLUSH_TIME).await;
        };
        let in_time = tokio::time::timeout_at(self.clock.instant_at(limit), finished)
            .await
            .is_ok();
        self.control.stop().await;
        self.peer_server.close();
        self.runtime.shutdown_background();
        log::info!(node = &*self.settings.node, in_time = in_time; "stopped");
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

async fn start_peers(
    settings: &NodeSettings,
    traffic: &Arc<TrafficState>,
    control: &ControlHandle,
) -> Result<PeerServer, NodeError> {
    let traffic = Arc::clone(traffic);
    let orders = Arc::clone(&traffic);
    let control = control.clone();
    let handlers = PeerHandlers {
        search: move |sub| counted(&traffic, run_own_sub_search(Arc::clone(&traffic), sub)),
        order: move |order| counted(&orders, run_own_order(Arc::clone(&orders), order)),
        deliver: move |envelope| {
            let control = control.clone();
            async move { control.deliver(envelope).await }
        },
    };
    Ok(PeerServer::start(&settings.peer_listen, handlers).await?)
}

/// Counts the work of another node as in flight until it has ended.
fn counted<F: Future>(
    traffic: &Arc<TrafficState>,
    work: F,
) -> impl Future<Output = F::Output> + use<F> {
    let flight = traffic.count_flight();
    async move {
        let ending = work.await;
        drop(flight);
        ending
    }
}

async fn serve(listener: TcpListener, router: Router, mut stopped: watch::Receiver<bool>) {
    let shutdown = async move {
        // The sender lives as long as the node, so an error means the node is gone.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    };
    if let Err(error) = axum::serve(listener, router)
        .with_graceful_shutdown(shutdown)
        .await
    {
        log::error!("listener failed: {error}");
    }
}
