//! Handle that changes the faults of a running platform stand-in.

use super::FaultSettings;
use super::shared_state::SharedState;
use std::sync::Arc;

/// Changes the faults of a running platform stand-in; clones change the same stand-in.
#[derive(Clone, Debug)]
pub struct PlatformFaults {
    state: Arc<SharedState>,
}

impl PlatformFaults {
    pub(super) fn new(state: Arc<SharedState>) -> Self {
        Self { state }
    }

    /// Returns the faults that are simulated now.
    pub fn current(&self) -> FaultSettings {
        self.state.lock().faults.clone()
    }

    /// Replaces all faults.
    pub fn set(&self, settings: FaultSettings) {
        self.state.lock().faults = settings;
        self.state.notify();
    }

    /// Lets a closure change some of the faults.
    pub fn update(&self, change: impl FnOnce(&mut FaultSettings)) {
        change(&mut self.state.lock().faults);
        self.state.notify();
    }
}
