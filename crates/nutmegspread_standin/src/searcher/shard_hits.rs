//! Computes the hits of a shard, for the stand-in's replies and for checks of answers.

use nutmegspread_model::{SearchHit, ShardId, SnapshotId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of bits of a hash that make up a score.
///
/// JSON represents whole numbers of this size exactly.
const SCORE_BITS: u32 = 48;

/// Computes the `k` best hits of one shard for a query, best first.
///
/// Scores depend on the snapshot, so that an answer merged from different snapshots differs from
/// [`merged_hits`].
pub fn shard_hits(
    snapshot: SnapshotId,
    shard: ShardId,
    query: &str,
    documents: u32,
    k: u32,
) -> Vec<SearchHit> {
    let seed = xxh3_64_with_seed(query.as_bytes(), snapshot ^ (u64::from(shard) << 32));
    let mut hits: Vec<SearchHit> = (0..documents)
        .map(|document| SearchHit {
            id: format!("doc-{shard}-{document}").into(),
            score: document_score(seed, document),
        })
        .collect();
    keep_best(&mut hits, k);
    hits
}

/// Computes the `k` best hits of all given shards of a snapshot, best first.
///
/// A complete answer to the query must have exactly these hits.
pub fn merged_hits(
    snapshot: SnapshotId,
    shards: impl IntoIterator<Item = ShardId>,
    query: &str,
    documents: u32,
    k: u32,
) -> Vec<SearchHit> {
    let mut hits: Vec<SearchHit> = shards
        .into_iter()
        .flat_map(|shard| shard_hits(snapshot, shard, query, documents, k))
        .collect();
    keep_best(&mut hits, k);
    hits
}

fn document_score(seed: u64, document: u32) -> f64 {
    let hash = xxh3_64_with_seed(&document.to_le_bytes(), seed) >> (u64::BITS - SCORE_BITS);
    hash as f64
}

fn keep_best(hits: &mut Vec<SearchHit>, k: u32) {
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    hits.truncate(k as usize);
}
