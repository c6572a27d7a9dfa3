//! Logs and counts what the answers of the store state about its era.

use crate::SharedState;
use indexmap::IndexSet;
use nutmegspread_tier::{EraObservation, EraTracker, StatedEra};
use std::sync::Arc;

/// The era of the store, with a log line and a counter for each change and each odd statement.
#[derive(Debug)]
pub struct StoreEras {
    shared: Arc<SharedState>,
    tracker: EraTracker,
    /// Odd statements that were logged; each is logged once.
    logged: IndexSet<&'static str>,
}

impl StoreEras {
    /// Creates the state of a node that has received no answer yet.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            tracker: EraTracker::default(),
            logged: IndexSet::new(),
        }
    }

    /// The latest era that is known; 0 if none was stated.
    pub fn latest(&self) -> u64 {
        self.tracker.latest()
    }

    /// Records what an answer of the store states.
    pub fn observe(&mut self, stated: StatedEra) -> EraObservation {
        let observation = self.tracker.observe(stated);
        self.record(observation, "store");
        observation
    }

    /// Records the era that a peer knows; 0 if it knows none.
    pub fn observe_peer(&mut self, era: u64) -> EraObservation {
        let observation = self.tracker.observe_peer(era);
        // A peer that has not heard of the latest era yet is nothing unusual.
        if observation != EraObservation::Older {
            self.record(observation, "peer");
        }
        observation
    }

    fn record(&mut self, observation: EraObservation, source: &'static str) {
        let era = self.tracker.latest();
        let name = match observation {
            EraObservation::Current => return,
            EraObservation::First => {
                log::info!(event = "store_era", era, source; "learned the era of the store");
                "first"
            }
            EraObservation::Risen { before } => {
                log::warn!(event = "store_era", era, before, source;
                    "the store has come back from an older copy");
                "risen"
            }
            EraObservation::Older => self.record_odd("older", "of an earlier era; it is late"),
            EraObservation::Missing => self.record_odd("missing", "without an era"),
            EraObservation::Unreadable => self.record_odd("unreadable", "whose era is no number"),
        };
        self.shared.metrics.count("store_eras", name);
        self.shared.metrics.set("store_era", era as f64);
    }

    fn record_odd(&mut self, name: &'static str, what: &'static str) -> &'static str {
        if self.logged.insert(name) {
            let era = self.tracker.latest();
            log::warn!(event = "store_era_odd", era, what;
                "an answer of the store has an unusual era; later ones are only counted");
        }
        name
    }
}
