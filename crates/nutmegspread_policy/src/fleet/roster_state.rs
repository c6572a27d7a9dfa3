//! The roster of a cell, which lists the nodes that vote, and which of these nodes are gone, so
//! that they no longer vote.

use indexmap::{IndexMap, IndexSet};
use nutmegspread_model::{MonotonicTime, NodeId, NodeRecord, RosterRecord};
use std::time::Duration;

/// The roster, the platform's list of nodes, and the voters that follow from both.
#[derive(Clone, Debug, Default)]
pub struct RosterState {
    /// Roster with the highest version that this node has received; version 0 if none is known.
    pub record: RosterRecord,
    /// The platform's latest list of nodes, in all cells.
    pub listed: IndexMap<NodeId, NodeRecord>,
    /// Roster version of the view that settled last; 0 if none has settled since this process
    /// started.
    pub settled_version: u64,
    /// Since when each voter has been missing from `listed` and not been live.
    absent_since: IndexMap<NodeId, MonotonicTime>,
    /// Voters that have been absent for long enough to count as gone.
    gone: IndexSet<NodeId>,
}

impl RosterState {
    /// Stores a roster if its version is newer; returns whether it was.
    pub fn accept(&mut self, record: RosterRecord) -> bool {
        if record.version <= self.record.version {
            return false;
        }
        self.record = record;
        true
    }

    /// Stores the platform's list of nodes and updates which voters count as gone.
    ///
    /// A voter is gone once it has been missing from the list, and not been live, for `gone_after`.
    pub fn apply_node_list(
        &mut self,
        now: MonotonicTime,
        list: Vec<NodeRecord>,
        gone_after: Duration,
        is_live: impl Fn(&str) -> bool,
    ) {
        self.listed = list
            .into_iter()
            .map(|record| (record.node.clone(), record))
            .collect();
        let nodes = self.record.nodes.iter().map(|record| &record.node);
        let voters: IndexSet<NodeId> = nodes.chain(&self.record.previous).cloned().collect();
        self.absent_since.retain(|node, _| voters.contains(node));
        self.gone.clear();
        for node in voters {
            if self.listed.contains_key(&node) || is_live(&node) {
                self.absent_since.shift_remove(&node);
                continue;
            }
            let since = *self.absent_since.entry(node.clone()).or_insert(now);
            if now.saturating_sub(since) >= gone_after {
                self.gone.insert(node);
            }
        }
    }

    /// Whether a node of the roster, or of the one before it, counts as gone.
    pub fn is_node_gone(&self, node: &str) -> bool {
        self.gone.contains(node)
    }

    /// Nodes of the roster that are not gone.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeRecord> {
        self.record
            .nodes
            .iter()
            .filter(|record| !self.is_node_gone(&record.node))
    }

    /// Sets of voters; a decision needs a majority of each.
    ///
    /// The nodes of the roster are one set. Until a view computed from this roster has settled, the
    /// nodes of the previous roster are a second one. Nodes that are gone are in neither.
    pub fn voter_sets(&self) -> Vec<Vec<&NodeId>> {
        let current: Vec<&NodeId> = self.nodes().map(|record| &record.node).collect();
        let previous = self
            .record
            .previous
            .iter()
            .filter(|node| !self.is_node_gone(node));
        let previous: Vec<&NodeId> = previous.collect();
        if self.settled_version >= self.record.version || previous.is_empty() {
            return vec![current];
        }
        vec![current, previous]
    }

    /// Whether the nodes for which `votes` returns `true` are a majority of every set of voters.
    pub fn has_majority(&self, votes: impl Fn(&NodeId) -> bool) -> bool {
        let sets = self.voter_sets();
        sets.iter().all(|voters| {
            let count = voters.iter().filter(|node| votes(node)).count();
            count >= majority(voters.len())
        })
    }

    /// The latest time such that, in every set of voters, `acknowledged_at` gives that time or a
    /// later one for a majority; `None` if it gives a time for less than a majority of a set.
    pub fn majority_time(
        &self,
        acknowledged_at: impl Fn(&NodeId) -> Option<MonotonicTime>,
    ) -> Option<MonotonicTime> {
        let sets = self.voter_sets();
        let times = sets.iter().map(|voters| {
            let mut times: Vec<MonotonicTime> = voters
                .iter()
                .filter_map(|node| acknowledged_at(node))
                .collect();
            times.sort_unstable_by(|a, b| b.cmp(a));
            times.get(majority(voters.len()) - 1).copied()
        });
        times.min().flatten()
    }

    /// The roster that should replace the current one; `None` if there is nothing to change.
    ///
    /// The new roster omits nodes that are gone, contains the listed records of the others, and
    /// adds nodes of the cell that are listed, live and not leaving.
    pub fn next_record(&self, cell: &str, is_live: impl Fn(&str) -> bool) -> Option<RosterRecord> {
        let mut nodes: IndexMap<NodeId, NodeRecord> = self
            .nodes()
            .map(|record| (record.node.clone(), record.clone()))
            .collect();
        for record in self.listed.values() {
            let wanted = record.cell == cell && !record.leaving && is_live(&record.node);
            if wanted || nodes.contains_key(&record.node) {
                let record = NodeRecord {
                    incarnation: 0,
                    leaving: false,
                    ..record.clone()
                };
                nodes.insert(record.node.clone(), record);
            }
        }
        nodes.sort_keys();
        let nodes: Vec<NodeRecord> = nodes.into_values().collect();
        if nodes.is_empty() || nodes == self.record.nodes {
            return None;
        }
        let previous = self.nodes().map(|record| record.node.clone()).collect();
        Some(RosterRecord {
            version: self.record.version + 1,
            nodes,
            previous,
        })
    }
}

/// Minimum size of a set of voters such that any two sets of this size have a voter in common.
fn majority(voters: usize) -> usize {
    voters / 2 + 1
}
