//! Counters of the calls that the stand-in received.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Calls since the start, refused ones included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Fetches and lists.
    pub reads: u64,
    /// Creates, replaces and deletes.
    pub writes: u64,
    /// Watches opened.
    pub watches_opened: u64,
    /// Watches open now.
    pub watches_waiting: u64,
    /// Reads by kind.
    pub reads_by_kind: IndexMap<String, u64>,
    /// Writes by kind.
    pub writes_by_kind: IndexMap<String, u64>,
}

impl CallCounts {
    pub(super) fn count_read(&mut self, kind: &str) {
        self.reads += 1;
        *self.reads_by_kind.entry(kind.to_owned()).or_default() += 1;
    }

    pub(super) fn count_write(&mut self, kind: &str) {
        self.writes += 1;
        *self.writes_by_kind.entry(kind.to_owned()).or_default() += 1;
    }
}
