//! Rendezvous hashing: all processes rank the same candidates in the same order, without exchanging
//! messages.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of a candidate for a key; the highest weight wins.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Sorts candidates by their weight for a key, highest first; equal weights are ordered by name.
///
/// ```
/// let first = nutmegspread_model::rank_candidates("target-1", ["a", "b", "c"]);
/// let second = nutmegspread_model::rank_candidates("target-1", ["c", "b", "a"]);
/// assert_eq!(first, second);
/// ```
pub fn rank_candidates<T: AsRef<str>>(
    key: &str,
    candidates: impl IntoIterator<Item = T>,
) -> Vec<T> {
    let mut ranked: Vec<(u64, T)> = candidates
        .into_iter()
        .map(|candidate| (rendezvous_weight(key, candidate.as_ref()), candidate))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}
