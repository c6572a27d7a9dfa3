//! State shared by the control thread and the traffic thread of a node.

use crate::{FleetView, NodeMetrics, NodeSettings, RolloutLedger, StoreConfirmation, UsageCounter};
use arc_swap::ArcSwap;
use nutmegspread_caller::CallerGate;
use nutmegspread_tier::{AccessRule, KeySecret, ReachStatement, RouteTable};
use rand::Rng;
use std::sync::atomic::{AtomicBool, AtomicU8};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// State shared by the control thread and the traffic thread of a node.
#[derive(Debug)]
pub struct SharedState {
    /// Start time of the process in milliseconds since 1970.
    pub started_ms: u64,
    /// Settings in force.
    pub settings: ArcSwap<NodeSettings>,
    /// Newest view of the fleet, published by the control thread.
    pub view: ArcSwap<FleetView>,
    /// Notified when a new view is published.
    pub view_changed: Notify,
    /// Whether the node has received a stop signal.
    pub leaving: AtomicBool,
    /// Time by which requests have to be answered; set when the node receives a stop signal.
    pub answer_by: OnceLock<Instant>,
    /// Notified when `leaving` changes, so that a heartbeat announces it.
    pub leaving_changed: Notify,
    /// Whether the store answered the last call of this node; true if the node has made none.
    pub reaches_store: AtomicBool,
    /// When the store last confirmed the configuration.
    pub confirmation: StoreConfirmation,
    /// Secret with which the keys of tenants are looked up; drawn at the start.
    pub key_secret: KeySecret,
    /// Whether requests of at least one recently requested route have enough services in reach, as this
    /// node states it to the other nodes.
    pub reach: Mutex<ReachStatement>,
    /// Level of overload of this node as it states it to the other nodes.
    pub stated_level: AtomicU8,
    /// Counts of answers for the judgement of rollouts.
    pub evidence: RolloutLedger,
    /// Counts of the requests of tenants; `None` if usage is not reported.
    pub usage: Option<UsageCounter>,
    /// Limits on the connections and bodies of callers, as set at the start.
    pub callers: Arc<CallerGate>,
    /// Counters and histograms.
    pub metrics: NodeMetrics,
}

impl SharedState {
    /// Creates the state of a node that has just started, with an empty view. `share` is the node's
    /// share of the common limits.
    pub fn new(settings: NodeSettings, share: f64) -> Self {
        let started_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let usage = settings.usage.as_ref();
        let usage = usage.map(|usage| UsageCounter::new(&settings.node, started_ms, usage.duty()));
        Self {
            started_ms,
            usage,
            callers: CallerGate::new(settings.caller_settings()),
            settings: ArcSwap::from_pointee(settings),
            view: ArcSwap::from_pointee(FleetView::empty(Instant::now(), share)),
            view_changed: Notify::new(),
            leaving: AtomicBool::new(false),
            answer_by: OnceLock::new(),
            leaving_changed: Notify::new(),
            reaches_store: AtomicBool::new(true),
            confirmation: StoreConfirmation::default(),
            key_secret: KeySecret::new(&rand::rng().random()),
            reach: Mutex::default(),
            stated_level: AtomicU8::new(0),
            evidence: RolloutLedger::default(),
            metrics: NodeMetrics::default(),
        }
    }

    /// Whether this node accepts the keys of tenants in `table`, or needs none. A node that starts during
    /// an outage of the store accepts none until the store has confirmed its configuration.
    pub fn accepts_keys(&self, table: Option<&RouteTable>, now: Instant) -> bool {
        !table.is_some_and(RouteTable::needs_keys)
            || AccessRule::default().accepts_known_keys(self.confirmation.age(now))
    }

    /// Whether this node states that it can serve callers: it reaches enough targets and accepts their
    /// keys.
    pub fn serves(&self, table: Option<&RouteTable>, now: Instant) -> bool {
        let reach = self.reach.lock().unwrap_or_else(PoisonError::into_inner);
        reach.serves(now) && self.accepts_keys(table, now)
    }

    /// Records whether a request found enough targets in reach. Returns whether this changes what the
    /// node states.
    pub fn record_reach(&self, now: Instant, is_reached: bool) -> bool {
        let mut reach = self.reach.lock().unwrap_or_else(PoisonError::into_inner);
        reach.record(now, is_reached)
    }
}
