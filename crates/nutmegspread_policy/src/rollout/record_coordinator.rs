//! When this node reads and writes the record.

use super::pending_write::PendingWrite;
use super::{RolloutAction, RolloutLimits, WriteOutcome};
use nutmegspread_model::{MonotonicTime, ResourceVersion, RolloutRecord};
use std::time::Duration;

/// Who may write now, as far as a node can tell; the conditional update decides in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteTurn {
    /// Write at once.
    Now,
    /// Another node holds the lease.
    Leased,
    /// Write when those before have had their time.
    Ordered,
}

/// Calls of one node to the platform: one write at a time, reads at an interval.
#[derive(Clone, Debug)]
pub(super) struct RecordCoordinator {
    limits: RolloutLimits,
    token_prefix: String,
    pending: Option<PendingWrite>,
    due: Option<(Option<ResourceVersion>, MonotonicTime)>,
    next_read: MonotonicTime,
    writes: u64,
}

impl RecordCoordinator {
    /// Starts with a read due.
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

    /// Asks for a read if one is due; `order` is the node's position among its peers, from 0.
    pub fn read_if_due(&mut self, now: MonotonicTime, order: u32) -> Option<RolloutAction> {
        if now < self.next_read {
            return None;
        }
        self.next_read = now + self.read_interval(order);
        Some(RolloutAction::Read)
    }

    /// Asks to write the proposed state if it is this node's turn and no write is out.
    pub fn write_if_due(
        &mut self,
        now: MonotonicTime,
        base: Option<ResourceVersion>,
        proposal: Option<RolloutRecord>,
        turn: WriteTurn,
        order: u32,
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
            WriteTurn::Ordered => now >= due_since + self.limits.stagger * order,
        };
        may_write.then(|| self.write(now, base, record))
    }

    /// Takes the end of a write; returns what the platform now holds if it took it.
    pub fn settle(
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

    /// Takes note that the platform was read: what it holds settles a lost write.
    ///
    /// If the lost write is still on its way, a later one on the same base excludes it.
    pub fn read_back(&mut self) {
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

    fn read_interval(&self, order: u32) -> Duration {
        let interval = self.limits.read_interval * (order + 1);
        interval.min(self.limits.longest_read_interval)
    }
}
