//! Which node gets the counts of usage of a node, and which runs of nodes send theirs.

use crate::NodeRun;
use crate::membership::member_record::MemberRecord;
use crate::membership::member_view::MemberView;
use indexmap::IndexSet;
use std::time::Instant;

impl MemberView {
    /// The node that gets this node's counts of usage, besides itself: the first watcher of the store,
    /// or the second one if this node is the first, so that its own counts outlive it.
    pub fn usage_receiver<'a>(
        &'a self,
        now: Instant,
        own: &'a MemberRecord,
    ) -> Option<&'a MemberRecord> {
        let mut candidates = self.candidates(now, own).into_iter();
        candidates.find(|record| record.reaches_store && record.node != own.node)
    }

    /// The live runs of nodes, this one included.
    pub fn live_runs(&self, now: Instant, own: &MemberRecord) -> IndexSet<NodeRun> {
        let live = self.live_records(now);
        let live = live.into_iter().chain([own]);
        live.map(|record| NodeRun {
            node: record.node.clone(),
            started_ms: record.started_ms,
        })
        .collect()
    }
}
