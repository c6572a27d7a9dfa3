//! What one partition of the journal stores.

use super::JournalEntry;
use indexmap::IndexMap;
use nutmegspread_model::IdempotencyKey;
use serde::{Deserialize, Serialize};
use std::time::{SystemTime, UNIX_EPOCH};

/// Bytes of the object around the entries in JSON.
const DOCUMENT_FRAME_BYTES: usize = 1024;

/// Spec of an `OrderJournal` object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JournalDocument {
    /// Every key issued up to here may have been dropped and is never claimed again.
    ///
    /// It is written in the same update that drops the entries, so that a process with a wrong
    /// clock or an old view cannot claim a dropped key.
    #[serde(rename = "forgotten_until_ms", with = "nutmegspread_model::time_ms")]
    pub forgotten_until: SystemTime,
    /// Claimed orders by key.
    pub entries: IndexMap<IdempotencyKey, JournalEntry>,
}

impl Default for JournalDocument {
    fn default() -> Self {
        Self {
            forgotten_until: UNIX_EPOCH,
            entries: IndexMap::new(),
        }
    }
}

impl JournalDocument {
    /// Drops every entry whose key was issued up to `cutoff`, and remembers that.
    pub fn prune(&mut self, cutoff: SystemTime) {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.issued_at > cutoff);
        if self.entries.len() < before {
            self.forgotten_until = self.forgotten_until.max(cutoff);
        }
    }

    /// Upper bound of the object's size in JSON, with room for the results of open claims.
    pub fn byte_bound(&self, result_bytes: usize) -> usize {
        let entries = self
            .entries
            .iter()
            .map(|(key, entry)| entry.byte_bound(key, result_bytes));
        DOCUMENT_FRAME_BYTES + entries.sum::<usize>()
    }
}
