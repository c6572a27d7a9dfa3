//! State that all traffic tasks share.

use super::answer_table::AnswerTable;
use super::target_runner::{RunnerContext, TargetDump, WarmthReport};
use super::{OwnedTargets, PeerPool};
use crate::ProcessClock;
use arc_swap::ArcSwap;
use cadence::{CountedExt, StatsdClient, Timed};
use indexmap::IndexMap;
use nutmegspread_model::{DomainName, Incarnation, NodeId, RequestId, ServiceName, TargetId};
use nutmegspread_policy::query::ServiceTable;
use nutmegspread_policy::routing::RoutingView;
use nutmegspread_wire::target::ConnectionBounds;
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

/// Settings of the traffic tasks.
#[derive(Clone, Debug, Default)]
pub struct TrafficSettings {
    /// Id of this node.
    pub node: NodeId,
    /// Failure domain of this node.
    pub domain: DomainName,
    /// Incarnation of this process; every start gets another one.
    pub incarnation: Incarnation,
    /// Time and size limits of each connection to a target.
    pub bounds: ConnectionBounds,
}

/// The published view, the query tables of services, the targets and the streams to peers.
pub struct TrafficState {
    settings: TrafficSettings,
    clock: ProcessClock,
    view: ArcSwap<RoutingView>,
    tables: Mutex<IndexMap<ServiceName, Arc<Mutex<ServiceTable>>>>,
    owned: OwnedTargets,
    peers: PeerPool,
    answers: AnswerTable,
    metrics: StatsdClient,
    next_request: AtomicU64,
    in_flight: AtomicU64,
}

/// Traffic state, for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct TrafficDump {
    /// Number of requests of callers and other nodes in flight.
    pub in_flight: u64,
    /// State of each target.
    pub targets: IndexMap<TargetId, TargetDump>,
    /// Debug output of the query table of each service: its budget and observations.
    pub services: IndexMap<ServiceName, String>,
}

/// Counts one request as in flight until dropped.
pub struct RequestGuard {
    state: Arc<TrafficState>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl TrafficState {
    /// Creates the state, with an empty view.
    pub fn new(
        settings: TrafficSettings,
        clock: ProcessClock,
        handle: Handle,
        warmth_reports: mpsc::UnboundedSender<WarmthReport>,
        metrics: StatsdClient,
    ) -> Arc<Self> {
        let context = RunnerContext {
            clock,
            bounds: settings.bounds,
            handle,
            warmth_reports,
            shares_valid_until: Arc::default(),
        };
        Arc::new(Self {
            settings,
            clock,
            view: ArcSwap::default(),
            tables: Mutex::default(),
            owned: OwnedTargets::new(context),
            peers: PeerPool::default(),
            answers: AnswerTable::default(),
            metrics,
            next_request: AtomicU64::new(1),
            in_flight: AtomicU64::new(0),
        })
    }

    /// Settings of the traffic tasks.
    pub fn settings(&self) -> &TrafficSettings {
        &self.settings
    }

    /// Clock of the process.
    pub fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// The view that was published last.
    pub fn view(&self) -> Arc<RoutingView> {
        self.view.load_full()
    }

    /// Publishes a view, then applies it to the targets.
    pub fn publish(&self, view: RoutingView) {
        let view = Arc::new(view);
        self.view.store(Arc::clone(&view));
        self.owned.apply(&view);
    }

    /// Runners of the targets.
    pub fn owned(&self) -> &OwnedTargets {
        &self.owned
    }

    /// Streams to peers.
    pub fn peers(&self) -> &PeerPool {
        &self.peers
    }

    /// Answer counts of the services.
    pub fn answers(&self) -> &AnswerTable {
        &self.answers
    }

    /// Query table of a service, with its budget and observations; created on first use.
    pub fn table(&self, service: &ServiceName) -> Arc<Mutex<ServiceTable>> {
        let mut tables = self.tables.lock().unwrap_or_else(PoisonError::into_inner);
        let new_table = || {
            Arc::new(Mutex::new(ServiceTable::new(
                self.first_attempt_id(service),
            )))
        };
        Arc::clone(tables.entry(service.clone()).or_insert_with(new_table))
    }

    /// Creates a request id that no other node or process start uses.
    pub fn new_request_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}-{:x}-{number:x}",
            self.settings.node, self.settings.incarnation
        )
        .into()
    }

    /// Counts a request of a caller or another node as in flight until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        RequestGuard {
            state: Arc::clone(self),
        }
    }

    /// Number of requests of callers and other nodes in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Adds one to a counter metric.
    pub fn count(&self, metric: &str) {
        // A metric that can't be sent is dropped; requests must not fail because of it.
        let _ = self.metrics.incr(metric);
    }

    /// Records a duration metric.
    pub fn time(&self, metric: &str, elapsed: Duration) {
        let _ = self.metrics.time(metric, elapsed);
    }

    /// Traffic state, for the dump.
    pub fn dump(&self) -> TrafficDump {
        let tables = self.tables.lock().unwrap_or_else(PoisonError::into_inner);
        let describe = |table: &Arc<Mutex<ServiceTable>>| {
            format!("{:?}", table.lock().unwrap_or_else(PoisonError::into_inner))
        };
        TrafficDump {
            in_flight: self.in_flight(),
            targets: self.owned.dump(),
            services: tables
                .iter()
                .map(|(name, table)| (name.clone(), describe(table)))
                .collect(),
        }
    }

    /// Id of the first attempt of a service. The high bits are a hash of node, incarnation and service,
    /// so that the id ranges of two services are unlikely to overlap.
    fn first_attempt_id(&self, service: &ServiceName) -> u64 {
        let seed = format!(
            "{}/{}/{service}",
            self.settings.node, self.settings.incarnation
        );
        nutmegspread_model::rendezvous_weight(&seed, service) & !ATTEMPT_COUNT_MASK
    }
}

/// Mask of the low bits of attempt ids, which count the attempts of a service. With more attempts than
/// that, its ids could reach the range of another service.
const ATTEMPT_COUNT_MASK: u64 = (1 << 40) - 1;
