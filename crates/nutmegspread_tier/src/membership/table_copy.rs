//! Copy of the table of a hub.

use crate::NodeName;
use crate::membership::member_record::MemberRecord;
use crate::membership::member_table::TableChanges;
use indexmap::IndexMap;

/// Copy of the table of a hub.
#[derive(Clone, Debug)]
pub struct TableCopy {
    /// Start of the hub that made the table; its versions begin anew with each start.
    pub started_ms: u64,
    /// Version of the table.
    pub version: u64,
    /// Live nodes by name.
    pub records: IndexMap<NodeName, MemberRecord>,
}

impl TableCopy {
    /// Creates an empty copy of the table that a hub made since its start at `started_ms`, in
    /// milliseconds since the Unix epoch.
    pub fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            version: 0,
            records: IndexMap::new(),
        }
    }

    /// Applies changes that the hub sent for a version that this copy had.
    pub fn apply(&mut self, changes: TableChanges) {
        if changes.is_complete {
            self.records.clear();
        }
        for node in &changes.removed {
            self.records.swap_remove(node);
        }
        for record in changes.records {
            self.records.insert(record.node.clone(), record);
        }
        self.version = changes.version;
    }
}
