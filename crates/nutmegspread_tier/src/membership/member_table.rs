//! The live nodes that a hub hears, which the other nodes follow.

use crate::NodeName;
use crate::membership::member_record::MemberRecord;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Largest number of removals that are kept; a node that lacks older ones gets a complete table.
const MAX_REMOVALS: usize = 1024;

/// Changes of a table after the version that a node knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableChanges {
    /// Version of the table after these changes.
    pub version: u64,
    /// Whether `records` is the complete table.
    pub is_complete: bool,
    /// Records that were added or changed.
    pub records: Vec<MemberRecord>,
    /// Nodes that are not live any more; empty if the table is complete.
    pub removed: Vec<NodeName>,
}

/// The live nodes that a hub hears, with the version at which each of their records last changed.
///
/// A record in the table has only what changes rarely, so that a fleet at rest has a table at rest.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    version: u64,
    records: IndexMap<NodeName, (u64, MemberRecord)>,
    /// Version and node of the latest removals, oldest first.
    removals: VecDeque<(u64, NodeName)>,
    /// Version after which all removals are in `removals`.
    removals_since: u64,
}

impl MemberTable {
    /// Version of the table; 0 before the first update.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the table by the `live` nodes. The version changes if any record does.
    pub fn update<'a>(&mut self, live: impl Iterator<Item = &'a MemberRecord>) {
        let next = self.version + 1;
        let mut silent: IndexMap<NodeName, (u64, MemberRecord)> = std::mem::take(&mut self.records);
        for record in live {
            let record = record.summary();
            let known = silent.swap_remove(&record.node);
            let version = match known {
                Some((version, known)) if known == record => version,
                _ => {
                    self.version = next;
                    next
                }
            };
            self.records.insert(record.node.clone(), (version, record));
        }
        for node in silent.into_keys() {
            self.version = next;
            self.removals.push_back((next, node));
        }
        while self.removals.len() > MAX_REMOVALS {
            if let Some((dropped, _)) = self.removals.pop_front() {
                self.removals_since = dropped;
            }
        }
    }

    /// Returns what a node that knows the table up to `version` lacks; 0 stands for nothing.
    pub fn changes_since(&self, version: u64) -> TableChanges {
        let is_complete = version == 0 || version < self.removals_since || version > self.version;
        let since = if is_complete { 0 } else { version };
        let changed = self
            .records
            .values()
            .filter(|(changed, _)| *changed > since);
        let removed = self.removals.iter().filter(|(removed, node)| {
            !is_complete && *removed > since && !self.records.contains_key(node)
        });
        TableChanges {
            version: self.version,
            is_complete,
            records: changed.map(|(_, record)| record.clone()).collect(),
            removed: removed.map(|(_, node)| node.clone()).collect(),
        }
    }
}
