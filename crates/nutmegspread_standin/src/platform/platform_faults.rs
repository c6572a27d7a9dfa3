//! Handle on the fault switches of a running stand-in.

use super::FaultSettings;
use super::shared_state::SharedState;
use std::sync::Arc;

/// Changes faults at run time; clones act on the same stand-in.
#[derive(Clone, Debug)]
pub struct PlatformFaults {
    state: Arc<SharedState>,
}

impl PlatformFaults {
    pub(super) fn new(state: Arc<SharedState>) -> Self {
        Self { state }
    }

    /// Faults in force now.
    pub fn current(&self) -> FaultSettings {
        self.state.lock().faults.clone()
    }

    /// Puts other faults in force.
    pub fn set(&self, settings: FaultSettings) {
        self.state.lock().faults = settings;
        self.state.notify();
    }

    /// Changes some of the faults.
    pub fn update(&self, change: impl FnOnce(&mut FaultSettings)) {
        change(&mut self.state.lock().faults);
        self.state.notify();
    }
}
