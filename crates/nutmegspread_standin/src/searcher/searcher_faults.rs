//! Handle by which a test changes the faults of a running searcher stand-in.

use super::searcher_state::SearcherState;
use super::{FaultChange, FaultSettings};
use std::sync::Arc;

/// Fault switches of one searcher stand-in.
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

    /// Takes all faults away; silenced connections stay silent.
    pub fn clear(&self) {
        self.set(FaultSettings::default());
    }

    /// Turns cold again, with a new incarnation and without a word to anyone.
    pub fn turn_cold(&self) {
        self.state.work.turn_cold();
    }

    /// Silences every connection that is open now; new ones work.
    pub fn silence_connections(&self) {
        self.state.connections.silence_open();
    }

    /// Applies a change that came over HTTP.
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
