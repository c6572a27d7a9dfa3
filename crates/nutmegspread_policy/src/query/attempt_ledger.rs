//! The attempts of one query and how far each has come.

use super::{AttemptStage, run_state};
use indexmap::IndexMap;
use nutmegspread_model::{AttemptId, MonotonicTime, RunState, ShardId, SubFailure, TargetId};

/// One attempt that is out.
#[derive(Clone, Debug)]
pub(super) struct AttemptRecord {
    pub(super) shard: ShardId,
    pub(super) replica: usize,
    pub(super) target: TargetId,
    pub(super) extra: bool,
    pub(super) sent_at: MonotonicTime,
}

/// Attempts that are out, and what the ended ones say of the request.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptLedger {
    open: IndexMap<AttemptId, AttemptRecord>,
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

    pub(super) fn sent(&mut self, attempt: AttemptId, record: AttemptRecord) {
        self.open.insert(attempt, record);
    }

    pub(super) fn get(&self, attempt: AttemptId) -> Option<&AttemptRecord> {
        self.open.get(&attempt)
    }

    /// Ends an attempt with a failure, and whether the target may have run it.
    pub(super) fn failed(
        &mut self,
        attempt: AttemptId,
        failure: SubFailure,
        run: RunState,
    ) -> Option<AttemptRecord> {
        let record = self.open.swap_remove(&attempt)?;
        self.last_failure = Some(failure);
        self.add_ended(AttemptStage::Answered { run });
        Some(record)
    }

    /// Ends an attempt that was answered or is no longer wanted.
    pub(super) fn ended(&mut self, attempt: AttemptId) -> Option<AttemptRecord> {
        let record = self.open.swap_remove(&attempt)?;
        self.add_ended(AttemptStage::Handed);
        Some(record)
    }

    pub(super) fn of_shard(&self, shard: ShardId) -> Vec<AttemptId> {
        let matches = self.open.iter().filter(|(_, record)| record.shard == shard);
        matches.map(|(attempt, _)| *attempt).collect()
    }

    pub(super) fn all(&self) -> Vec<AttemptId> {
        self.open.keys().copied().collect()
    }

    /// Target of each attempt that is out.
    pub(super) fn open_targets(&self) -> impl Iterator<Item = &TargetId> {
        self.open.values().map(|record| &record.target)
    }

    /// Whether the request may have run. An attempt that is out may have been handed over.
    pub(super) fn run(&self) -> RunState {
        let open = self.open.values().map(|_| AttemptStage::Handed);
        run_state(open.chain([self.ended_stage]))
    }

    fn add_ended(&mut self, stage: AttemptStage) {
        let run = run_state([self.ended_stage, stage]);
        self.ended_stage = AttemptStage::Answered { run };
    }
}
