//! Counts the calls that the platform stand-in receives.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Numbers of calls since the stand-in started, including calls that a fault made fail.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Number of calls that fetch or list objects.
    pub reads: u64,
    /// Number of calls that create, replace or delete an object.
    pub writes: u64,
    /// Number of calls that open a watch.
    pub watches_opened: u64,
    /// Number of watches that are open now.
    pub watches_waiting: u64,
    /// Number of reads for each kind of object.
    pub reads_by_kind: IndexMap<String, u64>,
    /// Number of writes for each kind of object.
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
