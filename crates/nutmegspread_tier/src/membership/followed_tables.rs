//! Copies of the tables of the hubs that a node follows.

use crate::NodeName;
use crate::membership::member_record::MemberRecord;
use crate::membership::member_table::TableChanges;
use crate::membership::table_copy::TableCopy;
use indexmap::IndexMap;
use nutmegspread_model::rank_candidates;
use std::net::SocketAddr;

/// Copies of the tables of the hubs that a node follows.
#[derive(Clone, Debug, Default)]
pub struct FollowedTables {
    copies: IndexMap<NodeName, TableCopy>,
}

impl FollowedTables {
    /// Returns those of the `followed` hubs whose table has a later version than its copy: the name
    /// and address of each, and the version of the copy.
    pub fn behind(&self, followed: &[&MemberRecord]) -> Vec<(NodeName, SocketAddr, u64)> {
        let versions = followed.iter().map(|hub| {
            let copy = self.copies.get(&hub.node);
            let copy = copy.filter(|copy| copy.started_ms == hub.started_ms);
            (hub, copy.map_or(0, |copy| copy.version))
        });
        versions
            .filter(|(hub, version)| *version < hub.table)
            .map(|(hub, version)| (hub.node.clone(), hub.peers, version))
            .collect()
    }

    /// Applies changes that a hub sent for version `known` of its table. The record of `own`, the
    /// node that follows, is left out.
    pub fn apply(&mut self, hub: &MemberRecord, known: u64, changes: TableChanges, own: &NodeName) {
        let copy = self
            .copies
            .entry(hub.node.clone())
            .or_insert_with(|| TableCopy::new(hub.started_ms));
        if copy.started_ms != hub.started_ms {
            *copy = TableCopy::new(hub.started_ms);
        }
        // The hub may have started again since the call.
        if !changes.is_complete && copy.version != known {
            return;
        }
        copy.apply(changes);
        copy.records.swap_remove(own);
    }

    /// Drops the copies of other hubs than the `followed` ones, once there is one of each of these.
    pub fn keep_followed(&mut self, followed: &[NodeName]) {
        if followed.iter().all(|hub| self.copies.contains_key(hub)) {
            self.keep_hubs(|hub| followed.contains(hub));
        }
    }

    /// Drops the copies of the hubs for which `is_kept` does not hold.
    pub fn keep_hubs(&mut self, is_kept: impl Fn(&NodeName) -> bool) {
        self.copies.retain(|hub, _| is_kept(hub));
    }

    /// The hubs of which there is a copy.
    pub fn hubs(&self) -> impl Iterator<Item = &NodeName> {
        self.copies.keys()
    }

    /// Record of a node in the first of the tables of the hubs for which `is_used` holds that has one
    /// for which `is_wanted` holds.
    pub fn record(
        &self,
        node: &NodeName,
        is_used: impl Fn(&NodeName) -> bool,
        is_wanted: impl Fn(&MemberRecord) -> bool,
    ) -> Option<&MemberRecord> {
        let used = self.copies.iter().filter(|(hub, _)| is_used(hub));
        let mut records = used.filter_map(|(_, copy)| copy.records.get(node));
        records.find(|record| is_wanted(record))
    }

    /// Records of the nodes in the tables of the hubs for which `is_used` holds.
    pub fn records(&self, is_used: impl Fn(&NodeName) -> bool) -> Vec<&MemberRecord> {
        let used = self.copies.iter().filter(|(hub, _)| is_used(hub));
        used.flat_map(|(_, copy)| copy.records.values()).collect()
    }
}

/// Returns the `count` hubs that the node `own` follows, by a hash of both names, which spreads the
/// nodes over the hubs.
pub fn choose_followed<'a>(
    own: &NodeName,
    hubs: &[&'a MemberRecord],
    count: usize,
) -> Vec<&'a MemberRecord> {
    let names: Vec<NodeName> = hubs.iter().map(|hub| hub.node.clone()).collect();
    let ranked = rank_candidates(own, &names);
    let followed = ranked.into_iter().take(count);
    followed
        .filter_map(|name| hubs.iter().copied().find(|hub| hub.node == *name))
        .collect()
}
