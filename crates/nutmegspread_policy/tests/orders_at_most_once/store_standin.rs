//! A stand-in for the platform's store: one versioned object that keeps its earlier versions.

use nutmegspread_policy::order::{CallFailure, JournalDocument, VersionedDocument};
use std::sync::Arc;

/// Stores one `OrderJournal` object, with all earlier versions for stale reads.
#[derive(Default)]
pub struct StoreStandin {
    states: Vec<VersionedDocument>,
    /// Number of writes received, including those refused with a conflict.
    pub writes: u64,
}

impl StoreStandin {
    /// Returns the state `stale` versions before the newest, or `None` if there is no such state.
    pub fn read(&self, stale: usize) -> Option<VersionedDocument> {
        let last = self.states.len().checked_sub(1 + stale)?;
        self.states.get(last).cloned()
    }

    /// Stores `document` if the newest version is `base`, and returns the new version.
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
