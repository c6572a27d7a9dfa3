//! Ranking of the live nodes as watchers, kept between calls.

use crate::membership::member_record::MemberRecord;
use crate::{FailureDomain, NodeName};
use std::time::Instant;

/// Ranking of the live nodes as watchers of the store, with this node.
///
/// Load pattern: a control thread in a fleet of hundreds asks for it at nearly every wake, some 30 times
/// a second. Computing it hashes and sorts the names of all nodes; in a simulation of 300 nodes, about
/// two thirds of the samples of a profile were there.
#[derive(Clone, Debug)]
pub struct MemberRanking {
    /// Names of the first nodes.
    pub first: Vec<NodeName>,
    /// Position of this node.
    pub own_rank: usize,
    /// Number of live nodes.
    pub length: usize,
    /// Cores and failure domain of this node by which it was ranked.
    own: (f64, FailureDomain),
    /// Time for which the ranking was computed.
    from: Instant,
    /// Time at which a node may stop being live, unless it is heard again.
    until: Instant,
}

impl MemberRanking {
    /// Creates the ranking of `ranked` nodes, of which it keeps the names of the first `count`; `until`
    /// is the time up to which the same nodes are live.
    pub fn new(
        ranked: &[&MemberRecord],
        own: &MemberRecord,
        count: usize,
        (from, until): (Instant, Instant),
    ) -> Self {
        let first = ranked.iter().take(count);
        Self {
            first: first.map(|record| record.node.clone()).collect(),
            own_rank: ranked
                .iter()
                .take_while(|record| record.node != own.node)
                .count(),
            length: ranked.len(),
            own: (own.cores, own.domain.clone()),
            from,
            until,
        }
    }

    /// Whether the ranking still holds for this node at `now`, if no record has changed since.
    pub fn holds(&self, now: Instant, own: &MemberRecord) -> bool {
        let (cores, domain) = &self.own;
        (self.from..self.until).contains(&now) && *cores == own.cores && *domain == own.domain
    }
}
