//! Checks whether a reply belongs to its attempt and may be merged.

use super::QueryPlan;
use super::attempt_ledger::AttemptRecord;
use nutmegspread_model::{AttemptId, SearchReply};

/// Whether the reply is whole: it belongs to the attempt, covers the entire shard, and has at most
/// `k` hits, whose scores are all numbers.
pub(super) fn is_whole_reply(
    plan: &QueryPlan,
    attempt: AttemptId,
    record: &AttemptRecord,
    reply: &SearchReply,
) -> bool {
    is_own_reply(plan, attempt, record, reply)
        && reply.complete
        && reply.hits.len() <= plan.k as usize
        && reply.hits.iter().all(|hit| !hit.score.is_nan())
}

/// Whether the reply names the request, attempt, shard, snapshot and version of the attempt.
fn is_own_reply(
    plan: &QueryPlan,
    attempt: AttemptId,
    record: &AttemptRecord,
    reply: &SearchReply,
) -> bool {
    reply.request_id == plan.request_id
        && reply.attempt == attempt
        && reply.shard == record.shard
        && reply.snapshot == plan.map.snapshot
        && reply.version == plan.version
}
