//! Order in which nodes watch the store.

use crate::FailureDomain;
use crate::membership::member_record::MemberRecord;
use indexmap::IndexMap;

/// Returns the nodes by their rank as watchers: the first of each failure domain, then the second of
/// each, and so on, because a domain may be cut off from the store. Within a domain and among equals,
/// nodes are ordered by cores and then by name.
pub fn rank_watchers(mut records: Vec<&MemberRecord>) -> Vec<&MemberRecord> {
    records.sort_by(|left, right| {
        right
            .cores
            .total_cmp(&left.cores)
            .then_with(|| left.node.cmp(&right.node))
    });
    let mut counts: IndexMap<&FailureDomain, usize> = IndexMap::new();
    let mut ranked: Vec<(usize, &MemberRecord)> = records
        .into_iter()
        .map(|record| {
            let count = counts.entry(&record.domain).or_default();
            *count += 1;
            (*count, record)
        })
        .collect();
    ranked.sort_by_key(|(position, _)| *position);
    ranked.into_iter().map(|(_, record)| record).collect()
}
