//! Merges the hits of all shards into the best `k`.

use nutmegspread_model::SearchHit;
use std::cmp::Ordering;

/// All but the best `k` hits are dropped once more than `k` times this number, and more than 256,
/// have been collected.
const TRIM_FACTOR: usize = 4;

/// Collects hits and keeps the best `k`; the order in which hits are added doesn't change the
/// result.
#[derive(Clone, Debug, Default)]
pub(super) struct HitMerge {
    k: usize,
    hits: Vec<SearchHit>,
}

impl HitMerge {
    pub(super) fn new(k: u32) -> Self {
        Self {
            k: k as usize,
            hits: Vec::new(),
        }
    }

    pub(super) fn add(&mut self, hits: Vec<SearchHit>) {
        self.hits.extend(hits);
        if self.hits.len() > self.k.saturating_mul(TRIM_FACTOR).max(256) {
            self.trim();
        }
    }

    pub(super) fn clear(&mut self) {
        self.hits.clear();
    }

    /// Removes and returns the best `k` hits, the best one first.
    pub(super) fn finish(&mut self) -> Vec<SearchHit> {
        self.trim();
        std::mem::take(&mut self.hits)
    }

    fn trim(&mut self) {
        self.hits.sort_unstable_by(compare_hits);
        self.hits.truncate(self.k);
    }
}

/// Orders hits by descending score, then by ascending id.
fn compare_hits(a: &SearchHit, b: &SearchHit) -> Ordering {
    b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id))
}
