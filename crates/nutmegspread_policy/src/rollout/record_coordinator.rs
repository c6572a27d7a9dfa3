//! Schedules this node's reads and writes of the rollout record in the platform.

use super::pending_write::PendingWrite;
use super::{RolloutAction, RolloutLimits, WriteOutcome};
use nutmegspread_model::{MonotonicTime, ResourceVersion, RolloutRecord};
use std::time::Duration;

/// When this node may write the record.
///
/// Several nodes may decide to write at the same time; the platform's conditional update accepts
/// only one of their writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteTurn {
    /// This node may write at once.
    Now,
    /// This node must not write, because another node holds the lease of the record.
    Leased,
    /// This node may write after a delay that grows with its rank (see
    /// [`RecordCoordinator::read_if_due`]), so that nodes of lower rank write first.
    Staggered,
}

/// Decides when one node calls the platform about a rollout.
///
/// At most one write is unanswered at a time; reads repeat at an interval.
#[derive(Clone, Debug)]
pub(super) struct RecordCoordinator {
    limits: RolloutLimits,
    token_prefix: String,
    pending: Option<PendingWrite>,
    /// The resource version that a due write would replace (`None` to create the object), and since
    /// when the write has been due; `None` if no write is due.
    due: Option<(Option<ResourceVersion>, MonotonicTime)>,
    next_read: MonotonicTime,
    /// Number of writes sent so far; makes each token unique.
    writes: u64,
}

impl RecordCoordinator {
    /// Creates a coordinator whose first read is due at once.
    ///
    /// `token_prefix` must be unique to the process, so that no two writes have the same token.
    pub fn new(limits: RolloutLimits, token_prefix: String) -> Self {
        Self {
            limits,
            token_prefix,
            pending: None,
            due: None,
            next_read: MonotonicTime::ZERO,
            writes: 0,
        }
    }

    /// When the next read is due.
    pub fn next_read(&self) -> MonotonicTime {
        self.next_read
    }

    /// Returns a read if one is due.
    ///
    /// `rank` is this node's position, from 0, when the live nodes are put in the order in which
    /// they may write the record. Nodes of lower rank also read more often.
    pub fn read_if_due(&mut self, now: MonotonicTime, rank: u32) -> Option<RolloutAction> {
        if now < self.next_read {
            return None;
        }
        self.next_read = now + self.read_interval(rank);
        Some(RolloutAction::Read)
    }

    /// Returns a write of the proposed record if this node may write now and no earlier write is
    /// pending. `proposal` is `None` if the record should not change.
    ///
    /// `base` is the resource version that the write replaces; `None` creates the object.
    pub fn write_if_due(
        &mut self,
        now: MonotonicTime,
        base: Option<ResourceVersion>,
        proposal: Option<RolloutRecord>,
        turn: WriteTurn,
        rank: u32,
    ) -> Option<RolloutAction> {
        self.expire_write(now);
        if self.pending.is_some() {
            return None;
        }
        let Some(record) = proposal else {
            self.due = None;
            return None;
        };
        let due_since = match self.due {
            Some((due_base, since)) if due_base == base => since,
            _ => now,
        };
        self.due = Some((base, due_since));
        let may_write = match turn {
            WriteTurn::Now => true,
            WriteTurn::Leased => false,
            WriteTurn::Staggered => now >= due_since + self.limits.stagger * rank,
        };
        may_write.then(|| self.write(now, base, record))
    }

    /// Applies the outcome of a write; returns the stored record and its resource version if the
    /// platform accepted the write.
    pub fn finish_write(
        &mut self,
        now: MonotonicTime,
        token: &str,
        outcome: WriteOutcome,
    ) -> Option<(RolloutRecord, ResourceVersion)> {
        let pending = self.pending.take_if(|pending| pending.token == token)?;
        self.next_read = now;
        match outcome {
            WriteOutcome::Accepted(version) => Some((pending.record, version)),
            WriteOutcome::Conflict => None,
            WriteOutcome::Unknown => {
                self.pending = Some(PendingWrite {
                    is_lost: true,
                    ..pending
                });
                None
            }
        }
    }

    /// Clears a lost write after a read of the platform, which shows whether the write took effect.
    ///
    /// A lost write may still reach the platform after the read. It then takes effect only if no
    /// other write has replaced its base version in the meantime.
    pub fn clear_lost_write(&mut self) {
        self.pending.take_if(|pending| pending.is_lost);
    }

    fn write(
        &mut self,
        now: MonotonicTime,
        base: Option<ResourceVersion>,
        record: RolloutRecord,
    ) -> RolloutAction {
        self.writes += 1;
        self.due = None;
        let token = format!("{}-{}", self.token_prefix, self.writes);
        self.pending = Some(PendingWrite {
            token: token.clone(),
            record: record.clone(),
            expires: now + self.limits.call_timeout,
            is_lost: false,
        });
        RolloutAction::Write {
            token,
            record,
            base,
        }
    }

    fn expire_write(&mut self, now: MonotonicTime) {
        if let Some(pending) = &mut self.pending
            && !pending.is_lost
            && now >= pending.expires
        {
            pending.is_lost = true;
            self.next_read = now;
        }
    }

    fn read_interval(&self, rank: u32) -> Duration {
        let interval = self.limits.read_interval * (rank + 1);
        interval.min(self.limits.longest_read_interval)
    }
}
