//! The times at which shards are next checked.

use nutmegspread_model::{MonotonicTime, ShardId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Shards ordered by the time of their next check.
///
/// When a shard gets a new due time, its older entries stay in the queue. The caller recognizes an
/// outdated entry because its time differs from the shard's current due time.
#[derive(Clone, Debug, Default)]
pub(super) struct DueQueue {
    heap: BinaryHeap<Reverse<(MonotonicTime, ShardId)>>,
}

impl DueQueue {
    pub(super) fn push(&mut self, due: MonotonicTime, shard: ShardId) {
        self.heap.push(Reverse((due, shard)));
    }

    /// Removes and returns the earliest entry if its time has been reached; the entry may be
    /// outdated.
    pub(super) fn pop_due(&mut self, now: MonotonicTime) -> Option<(MonotonicTime, ShardId)> {
        let Reverse(first) = *self.heap.peek()?;
        if first.0 > now {
            return None;
        }
        self.heap.pop();
        Some(first)
    }

    /// Due time of the earliest entry that isn't outdated; `valid` returns false for an outdated
    /// entry. Drops the outdated entries before it.
    pub(super) fn next_due(
        &mut self,
        valid: impl Fn(MonotonicTime, ShardId) -> bool,
    ) -> Option<MonotonicTime> {
        while let Some(Reverse((due, shard))) = self.heap.peek() {
            if valid(*due, *shard) {
                return Some(*due);
            }
            self.heap.pop();
        }
        None
    }

    pub(super) fn clear(&mut self) {
        self.heap.clear();
    }
}
