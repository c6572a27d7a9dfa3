//! Checks an answer against the documents of the searcher stand-ins.

use crate::searcher::merged_hits;
use nutmegspread_model::{QueryAnswer, QueryRequest, ShardId, SnapshotMap};
use thiserror::Error;

/// Number of documents in each shard of a load run.
const DOCUMENTS_PER_SHARD: u32 = 32;

/// Fault of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnswerFault {
    /// The answer comes from a snapshot that no searcher holds.
    #[error("snapshot {found} instead of {expected}")]
    Snapshot {
        /// Snapshot of the answer.
        found: u64,
        /// Snapshot that the searchers hold.
        expected: u64,
    },
    /// The shard counts of the answer contradict each other or the snapshot map.
    #[error("coverage {answered} of {total} with {missing} missing, of {shards} shards")]
    Coverage {
        /// Number of answered shards that the answer states.
        answered: u32,
        /// Total number of shards that the answer states.
        total: u32,
        /// Number of shards in the answer's missing list that the snapshot map contains.
        missing: usize,
        /// Number of shards in the snapshot map.
        shards: usize,
    },
    /// The hits are not the best hits of the shards that the answer covers.
    #[error("hits differ from those of the answered shards")]
    Hits,
}

/// Checks the snapshot, the coverage and the hits of an answer.
///
/// # Errors
/// The first fault found, in this order: snapshot, coverage, hits.
pub fn check_answer(
    request: &QueryRequest,
    answer: &QueryAnswer,
    map: &SnapshotMap,
) -> Result<(), AnswerFault> {
    if answer.snapshot != map.snapshot {
        return Err(AnswerFault::Snapshot {
            found: answer.snapshot,
            expected: map.snapshot,
        });
    }
    let coverage = &answer.coverage;
    let shards = map.shards.len();
    let is_ascending = coverage.missing.is_sorted_by(|a, b| a < b);
    let is_in_map = |shard: &&ShardId| (**shard as usize) < shards;
    let missing = coverage.missing.iter().filter(is_in_map).count();
    let counts_match = coverage.answered as usize + missing == shards
        && coverage.total as usize == shards
        && missing == coverage.missing.len();
    if !is_ascending || !counts_match {
        let (answered, total) = (coverage.answered, coverage.total);
        return Err(AnswerFault::Coverage {
            answered,
            total,
            missing,
            shards,
        });
    }
    let covered_shards = (0..coverage.total).filter(|shard| !coverage.missing.contains(shard));
    let expected = merged_hits(
        answer.snapshot,
        covered_shards,
        &request.query,
        DOCUMENTS_PER_SHARD,
        request.k,
    );
    if answer.hits == expected {
        Ok(())
    } else {
        Err(AnswerFault::Hits)
    }
}
