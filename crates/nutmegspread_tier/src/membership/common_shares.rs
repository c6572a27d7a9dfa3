//! Which nodes are advertised, and how the nodes divide limits that are common to all.

use crate::NodeName;
use crate::membership::advertised_nodes::AdvertisedNodes;
use crate::membership::member_record::MemberRecord;
use crate::membership::member_view::MemberView;
use std::time::Instant;

impl MemberView {
    /// Returns the records of the ready nodes to advertise to callers. `own` is this node's record.
    pub fn advertised(&self, now: Instant, own: &MemberRecord) -> Vec<MemberRecord> {
        let nodes = self.choose_advertised(now, own);
        nodes.present().iter().copied().cloned().collect()
    }

    fn choose_advertised<'a>(&'a self, now: Instant, own: &'a MemberRecord) -> AdvertisedNodes<'a> {
        let records = std::iter::once(own).chain(self.live_records(now));
        let ready = records.filter(|record| record.ready).collect();
        AdvertisedNodes::new(ready, self.settings.least_named)
    }

    /// Returns this node's share of limits that are common to all nodes, from 0 to 1.
    ///
    /// The advertised nodes divide the limits evenly, except for `unnamed_share`, which the other
    /// nodes divide. This node counts as advertised if it would be advertised when it is ready and
    /// reaches enough targets. During `named_within` after the start, the share is computed from
    /// the number of known nodes alone.
    pub fn limit_share(&self, now: Instant, own: &MemberRecord) -> f64 {
        let node_count = 1 + self.known_count(now);
        if now.saturating_duration_since(self.started) < self.settings.named_within {
            return 1.0 / node_count.max(self.settings.assumed_nodes) as f64;
        }
        let ready_record = MemberRecord {
            ready: true,
            serves: true,
            ..own.clone()
        };
        let nodes = self.choose_advertised(now, &ready_record);
        nodes.limit_share(own, node_count, self.settings.unnamed_share)
    }

    /// Returns the sorted names of the nodes that divide limits which can only be divided into
    /// whole attempts: the nodes that are advertised in calm times. Returns `None` during `named_within` after the start,
    /// when messages of some nodes may not have been received yet.
    pub fn sharers(&self, now: Instant, own: &MemberRecord) -> Option<Vec<NodeName>> {
        if now.saturating_duration_since(self.started) < self.settings.named_within {
            return None;
        }
        let usual = self.choose_advertised(now, own).usual;
        let mut nodes: Vec<NodeName> = usual.iter().map(|record| record.node.clone()).collect();
        nodes.sort();
        Some(nodes)
    }
}
