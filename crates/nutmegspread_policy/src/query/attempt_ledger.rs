//! Records the attempts of one query, and whether a target may have run the caller's request.

use super::{AttemptStage, run_state};
use indexmap::IndexMap;
use nutmegspread_model::{AttemptId, MonotonicTime, RunState, ShardId, SubFailure, TargetId};

/// One attempt that was sent and has not ended.
#[derive(Clone, Debug)]
pub(super) struct AttemptRecord {
    pub(super) shard: ShardId,
    /// Index of the target in the shard's list of replicas.
    pub(super) replica: usize,
    pub(super) target: TargetId,
    /// Whether the attempt is a hedge or retry.
    pub(super) extra: bool,
    pub(super) sent_at: MonotonicTime,
}

/// The unanswered attempts of a query, and a summary of the ended ones.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptLedger {
    /// Attempts that were sent and have not ended.
    open: IndexMap<AttemptId, AttemptRecord>,
    /// All ended attempts merged into one stage; its run state is `Unknown` if a target may have
    /// run any of them.
    ended_stage: AttemptStage,
    last_failure: Option<SubFailure>,
}

impl AttemptLedger {
    pub(super) fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    pub(super) fn last_failure(&self) -> Option<SubFailure> {
        self.last_failure
    }

    pub(super) fn add(&mut self, attempt: AttemptId, record: AttemptRecord) {
        self.open.insert(attempt, record);
    }

    pub(super) fn get(&self, attempt: AttemptId) -> Option<&AttemptRecord> {
        self.open.get(&attempt)
    }

    /// Ends an attempt that failed; `run` says whether the target may have run it.
    pub(super) fn end_failed(
        &mut self,
        attempt: AttemptId,
        failure: SubFailure,
        run: RunState,
    ) -> Option<AttemptRecord> {
        let record = self.open.swap_remove(&attempt)?;
        self.last_failure = Some(failure);
        self.merge_ended_stage(AttemptStage::Ended { run });
        Some(record)
    }

    /// Ends an attempt that was answered or cancelled. Its target may have run the request, so
    /// [`Self::run_state`] is `Unknown` from then on.
    pub(super) fn end(&mut self, attempt: AttemptId) -> Option<AttemptRecord> {
        let record = self.open.swap_remove(&attempt)?;
        self.merge_ended_stage(AttemptStage::Sent);
        Some(record)
    }

    pub(super) fn attempts_of_shard(&self, shard: ShardId) -> Vec<AttemptId> {
        let matches = self.open.iter().filter(|(_, record)| record.shard == shard);
        matches.map(|(attempt, _)| *attempt).collect()
    }

    pub(super) fn open_attempts(&self) -> Vec<AttemptId> {
        self.open.keys().copied().collect()
    }

    /// Target of each unanswered attempt.
    pub(super) fn open_targets(&self) -> impl Iterator<Item = &TargetId> {
        self.open.values().map(|record| &record.target)
    }

    /// Whether any target may have run the request. An unanswered attempt counts as possibly run,
    /// because it may have reached its target.
    pub(super) fn run_state(&self) -> RunState {
        let open = self.open.values().map(|_| AttemptStage::Sent);
        run_state(open.chain([self.ended_stage]))
    }

    fn merge_ended_stage(&mut self, stage: AttemptStage) {
        let run = run_state([self.ended_stage, stage]);
        self.ended_stage = AttemptStage::Ended { run };
    }
}
