//! A versioned object in virtual time, with its history for stale reads.

use nutmegspread_policy::order::{CallFailure, JournalDocument, VersionedDocument};
use std::sync::Arc;

/// One journal object.
#[derive(Default)]
pub struct FakeStore {
    states: Vec<VersionedDocument>,
    pub writes: u64,
}

impl FakeStore {
    pub fn read(&self, stale: usize) -> Option<VersionedDocument> {
        let last = self.states.len().checked_sub(1 + stale)?;
        self.states.get(last).cloned()
    }

    pub fn write(&mut self, base: u64, document: Arc<JournalDocument>) -> Result<u64, CallFailure> {
        self.writes += 1;
        let current = self.states.last().map_or(0, |state| state.version);
        if base != current {
            return Err(CallFailure::Conflict);
        }
        let version = current + 1;
        self.states.push(VersionedDocument { version, document });
        Ok(version)
    }
}
