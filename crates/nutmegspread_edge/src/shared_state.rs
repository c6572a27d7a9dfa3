//! What the threads of a node share.

use crate::{FleetView, NodeMetrics, NodeSettings, RolloutLedger};
use arc_swap::ArcSwap;
use std::sync::atomic::AtomicBool;
use std::time::Instant;
use tokio::sync::Notify;

/// What the threads of a node share.
#[derive(Debug)]
pub struct SharedState {
    /// Settings in force.
    pub settings: ArcSwap<NodeSettings>,
    /// Newest view of the fleet.
    pub view: ArcSwap<FleetView>,
    /// Wakes traffic when there is a new view.
    pub view_changed: Notify,
    /// Set when the node is asked to stop.
    pub leaving: AtomicBool,
    /// Wakes control when the node is asked to stop.
    pub leaving_changed: Notify,
    /// Whether the store answered this node's last call, or none was needed.
    pub reaches_store: AtomicBool,
    /// Whether traffic reaches enough targets to serve.
    pub serviceable: AtomicBool,
    /// Answers that speak for or against versions that are rolled out.
    pub evidence: RolloutLedger,
    /// Counters and histograms.
    pub metrics: NodeMetrics,
}

impl SharedState {
    /// Starts with an empty view.
    pub fn new(settings: NodeSettings, part: f64) -> Self {
        Self {
            settings: ArcSwap::from_pointee(settings),
            view: ArcSwap::from_pointee(FleetView::empty(Instant::now(), part)),
            view_changed: Notify::new(),
            leaving: AtomicBool::new(false),
            leaving_changed: Notify::new(),
            reaches_store: AtomicBool::new(true),
            serviceable: AtomicBool::new(true),
            evidence: RolloutLedger::default(),
            metrics: NodeMetrics::default(),
        }
    }
}
