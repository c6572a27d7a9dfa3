//! Requests that wait for a slot of one target.

use super::TicketId;
use nutmegspread_model::MonotonicTime;
use std::collections::VecDeque;

/// A submitted request that waits to be sent or resent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueuedTicket {
    pub(super) ticket: TicketId,
    /// Whether the request is a hedge or retry; a cold target gets no such requests.
    pub(super) extra: bool,
    /// Time after which the caller no longer wants the result.
    pub(super) deadline: MonotonicTime,
    /// How often the request may still be resent after its connection stalled; 0 for a request that
    /// isn't idempotent.
    pub(super) resends_left: u32,
}

/// First-in, first-out queue of requests. A request that has to be resent is put at the front.
#[derive(Clone, Debug, Default)]
pub(super) struct TicketQueue {
    entries: VecDeque<QueuedTicket>,
}

impl TicketQueue {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn push(&mut self, entry: QueuedTicket) {
        self.entries.push_back(entry);
    }

    pub(super) fn push_first(&mut self, entry: QueuedTicket) {
        self.entries.push_front(entry);
    }

    pub(super) fn pop_first(&mut self) -> Option<QueuedTicket> {
        self.entries.pop_front()
    }

    pub(super) fn pop_last(&mut self) -> Option<QueuedTicket> {
        self.entries.pop_back()
    }

    /// Removes the entries for which `matches` returns true; returns their tickets in queue order.
    pub(super) fn extract(&mut self, matches: impl Fn(&QueuedTicket) -> bool) -> Vec<TicketId> {
        if !self.entries.iter().any(&matches) {
            return Vec::new();
        }
        let (removed, kept): (VecDeque<_>, VecDeque<_>) =
            self.entries.drain(..).partition(|entry| matches(entry));
        self.entries = kept;
        removed.into_iter().map(|entry| entry.ticket).collect()
    }

    /// Deadline of the request at the end of the queue.
    pub(super) fn last_deadline(&self) -> Option<MonotonicTime> {
        self.entries.back().map(|entry| entry.deadline)
    }

    /// Earliest deadline of all queued requests.
    pub(super) fn first_deadline(&self) -> Option<MonotonicTime> {
        self.entries.iter().map(|entry| entry.deadline).min()
    }
}
