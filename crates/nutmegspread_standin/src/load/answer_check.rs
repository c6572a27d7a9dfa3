//! Checks an answer against what the searchers hold.

use crate::searcher::merged_hits;
use nutmegspread_model::{QueryAnswer, QueryRequest, ShardId, SnapshotMap};
use thiserror::Error;

/// Documents in each shard of a load run.
const DOCUMENTS: u32 = 32;

/// What is wrong with an answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnswerFault {
    /// It comes from a snapshot that no searcher holds.
    #[error("snapshot {found} instead of {expected}")]
    Snapshot {
        /// Snapshot of the answer.
        found: u64,
        /// Snapshot that the searchers hold.
        expected: u64,
    },
    /// The counts of shards contradict each other or the snapshot map.
    #[error("coverage {answered} of {total} with {missing} missing, of {shards} shards")]
    Coverage {
        /// Shards said to be answered.
        answered: u32,
        /// Shards said to exist.
        total: u32,
        /// Distinct existing shards said to be missing.
        missing: usize,
        /// Shards of the snapshot map.
        shards: usize,
    },
    /// The hits are not the best ones of the shards said to be answered.
    #[error("hits differ from those of the answered shards")]
    Hits,
}

/// Checks snapshot, coverage and hits of an answer.
///
/// # Errors
/// The first fault found.
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
    let exists = |shard: &&ShardId| (**shard as usize) < shards;
    let missing = coverage.missing.iter().filter(exists).count();
    let is_counted = coverage.answered as usize + missing == shards
        && coverage.total as usize == shards
        && missing == coverage.missing.len();
    if !is_ascending || !is_counted {
        let (answered, total) = (coverage.answered, coverage.total);
        return Err(AnswerFault::Coverage {
            answered,
            total,
            missing,
            shards,
        });
    }
    let covered = (0..coverage.total).filter(|shard| !coverage.missing.contains(shard));
    let expected = merged_hits(
        answer.snapshot,
        covered,
        &request.query,
        DOCUMENTS,
        request.k,
    );
    if answer.hits == expected {
        Ok(())
    } else {
        Err(AnswerFault::Hits)
    }
}
