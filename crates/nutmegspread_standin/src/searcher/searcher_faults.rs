//! Handle that changes the faults of a running searcher stand-in.

use super::searcher_state::SearcherState;
use super::{FaultChange, FaultSettings};
use std::sync::Arc;

/// Changes the faults of a running searcher stand-in; clones change the same stand-in.
#[derive(Clone)]
pub struct SearcherFaults {
    state: Arc<SearcherState>,
}

impl SearcherFaults {
    pub(super) fn new(state: Arc<SearcherState>) -> Self {
        Self { state }
    }

    /// Replaces all faults.
    pub fn set(&self, settings: FaultSettings) {
        self.state.set_faults(settings);
    }

    /// Clears all faults; connections that were made silent stay silent.
    pub fn clear(&self) {
        self.set(FaultSettings::default());
    }

    /// Makes the stand-in cold again, with a new incarnation, and keeps its connections open.
    pub fn turn_cold(&self) {
        self.state.work.turn_cold();
    }

    /// Makes all connections that are open now silent; new connections are answered.
    pub fn silence_connections(&self) {
        self.state.connections.silence_open();
    }

    /// Applies the body of `POST /standin/faults`.
    pub fn apply(&self, change: FaultChange) {
        if let Some(settings) = change.settings {
            self.set(settings);
        }
        if change.turn_cold {
            self.turn_cold();
        }
        if change.silence_connections {
            self.silence_connections();
        }
    }
}
