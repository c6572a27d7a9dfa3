//! Which nodes are advertised to callers.

use crate::membership::member_record::MemberRecord;

/// Returns the nodes to advertise among those that are `ready`.
///
/// Load pattern: queries over many shards, which take several times as long on a small node. If at
/// least `least` nodes are large, only these are advertised. Nodes that do not reach enough targets
/// are left out, unless no ready node reaches enough.
pub fn choose_advertised(ready: Vec<&MemberRecord>, least: usize) -> Vec<&MemberRecord> {
    let minimum_cores = maximum(&ready, |record| record.cores) / 2.0;
    let named = prefer(ready, 1, |record| record.serves);
    prefer(named, least, |record| record.cores >= minimum_cores)
}

/// Returns the records for which `fits` holds if there are at least `least` of them; otherwise all
/// `records`.
fn prefer(
    records: Vec<&MemberRecord>,
    least: usize,
    fits: impl Fn(&MemberRecord) -> bool,
) -> Vec<&MemberRecord> {
    let fitting: Vec<&MemberRecord> = records
        .iter()
        .copied()
        .filter(|record| fits(record))
        .collect();
    if fitting.len() >= least {
        fitting
    } else {
        records
    }
}

/// Returns the largest `value` among the records; 0 if there are none.
fn maximum(records: &[&MemberRecord], value: impl Fn(&MemberRecord) -> f64) -> f64 {
    records
        .iter()
        .map(|record| value(record))
        .fold(0.0, f64::max)
}
