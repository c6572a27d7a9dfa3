//! What all traffic tasks share.

use super::answer_table::AnswerTable;
use super::target_runner::{RunnerContext, TargetSnapshot, WarmthReport};
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

/// Settings of the traffic part.
#[derive(Clone, Debug, Default)]
pub struct TrafficSettings {
    /// Id of this node.
    pub node: NodeId,
    /// Failure domain of this node.
    pub domain: DomainName,
    /// Number of this process start.
    pub incarnation: Incarnation,
    /// Bounds of each connection to a target.
    pub bounds: ConnectionBounds,
}

/// The published view, per-service tables, owned targets and streams to peers.
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

/// State of the traffic part for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct TrafficDump {
    /// Callers' requests in flight.
    pub in_flight: u64,
    /// Owned targets.
    pub targets: IndexMap<TargetId, TargetSnapshot>,
    /// Per service: budget and observations.
    pub services: IndexMap<ServiceName, String>,
}

/// Counts one request in flight until dropped.
pub struct FlightGuard {
    state: Arc<TrafficState>,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl TrafficState {
    /// Creates the state with an empty view.
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

    /// Settings of the traffic part.
    pub fn settings(&self) -> &TrafficSettings {
        &self.settings
    }

    /// Clock of the process.
    pub fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// The view in force now.
    pub fn view(&self) -> Arc<RoutingView> {
        self.view.load_full()
    }

    /// Publishes a view: routing first, then the shares of owned targets.
    pub fn publish(&self, view: RoutingView) {
        let view = Arc::new(view);
        self.view.store(Arc::clone(&view));
        self.owned.apply(&view);
    }

    /// Targets of which this node owns a share.
    pub fn owned(&self) -> &OwnedTargets {
        &self.owned
    }

    /// Streams to other nodes.
    pub fn peers(&self) -> &PeerPool {
        &self.peers
    }

    /// Counts of answers.
    pub fn answers(&self) -> &AnswerTable {
        &self.answers
    }

    /// Budget and observations of a service.
    pub fn table(&self, service: &ServiceName) -> Arc<Mutex<ServiceTable>> {
        let mut tables = self.tables.lock().unwrap_or_else(PoisonError::into_inner);
        let new_table = || Arc::new(Mutex::new(ServiceTable::new(self.first_attempt(service))));
        Arc::clone(tables.entry(service.clone()).or_insert_with(new_table))
    }

    /// Makes an id that no other process start uses.
    pub fn new_request_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}-{:x}-{number:x}",
            self.settings.node, self.settings.incarnation
        )
        .into()
    }

    /// Counts a request of a caller or another node until the guard is dropped.
    pub fn count_flight(self: &Arc<Self>) -> FlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        FlightGuard {
            state: Arc::clone(self),
        }
    }

    /// Requests of callers and other nodes in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Adds one to a counter.
    pub fn count(&self, metric: &str) {
        // A lost metric is not worth an error.
        let _ = self.metrics.incr(metric);
    }

    /// Records a time.
    pub fn time(&self, metric: &str, elapsed: Duration) {
        let _ = self.metrics.time(metric, elapsed);
    }

    /// State for the dump.
    pub fn dump(&self) -> TrafficDump {
        let tables = self.tables.lock().unwrap_or_else(PoisonError::into_inner);
        let describe = |table: &Arc<Mutex<ServiceTable>>| {
            format!("{:?}", table.lock().unwrap_or_else(PoisonError::into_inner))
        };
        TrafficDump {
            in_flight: self.in_flight(),
            targets: self.owned.snapshot(),
            services: tables
                .iter()
                .map(|(name, table)| (name.clone(), describe(table)))
                .collect(),
        }
    }

    /// First attempt of a service; the ranges of two services never meet.
    fn first_attempt(&self, service: &ServiceName) -> u64 {
        let seed = format!(
            "{}/{}/{service}",
            self.settings.node, self.settings.incarnation
        );
        nutmegspread_model::rendezvous_weight(&seed, service) & !ATTEMPT_RANGE_MASK
    }
}

/// Attempts that one service may make before two ranges could meet.
const ATTEMPT_RANGE_MASK: u64 = (1 << 40) - 1;
