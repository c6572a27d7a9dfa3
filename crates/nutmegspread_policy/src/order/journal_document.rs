//! The stored document of one journal partition.

use super::JournalEntry;
use indexmap::IndexMap;
use nutmegspread_model::IdempotencyKey;
use serde::{Deserialize, Serialize};
use std::time::{SystemTime, UNIX_EPOCH};

/// Upper bound of the JSON bytes of an `OrderJournal` object without its entries.
const DOCUMENT_OVERHEAD_BYTES: usize = 1024;

/// Spec of an `OrderJournal` object of the platform, which stores one partition of the order
/// journal: the entries of all orders whose keys belong to the partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JournalDocument {
    /// Latest issue time of the keys whose entries may have been dropped, stored in milliseconds
    /// since the Unix epoch. A key issued at or before this time is never claimed again.
    ///
    /// The write that drops entries also raises this time, so that a process with a wrong clock or
    /// a stale copy of the document cannot claim a dropped key.
    #[serde(rename = "forgotten_until_ms", with = "nutmegspread_model::time_ms")]
    pub forgotten_until: SystemTime,
    /// Claimed orders by idempotency key.
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
    /// Drops every entry whose key was issued at or before `cutoff`, and raises
    /// [`Self::forgotten_until`] to `cutoff` if any was dropped.
    pub fn prune(&mut self, cutoff: SystemTime) {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.issued_at > cutoff);
        if self.entries.len() < before {
            self.forgotten_until = self.forgotten_until.max(cutoff);
        }
    }

    /// Upper bound of the object's size as JSON, in bytes.
    ///
    /// An entry without an outcome counts as if its result took `result_bytes`, the largest result
    /// that is stored.
    pub fn byte_bound(&self, result_bytes: usize) -> usize {
        let entries = self
            .entries
            .iter()
            .map(|(key, entry)| entry.byte_bound(key, result_bytes));
        DOCUMENT_OVERHEAD_BYTES + entries.sum::<usize>()
    }
}
