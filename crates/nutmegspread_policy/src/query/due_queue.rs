//! The times at which shards are next checked.

use nutmegspread_model::{MonotonicTime, ShardId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Shards ordered by the time of their next check. A shard with a newer due time keeps its older
/// entries here; the reader skips them.
#[derive(Clone, Debug, Default)]
pub(super) struct DueQueue {
    heap: BinaryHeap<Reverse<(MonotonicTime, ShardId)>>,
}

impl DueQueue {
    pub(super) fn push(&mut self, due: MonotonicTime, shard: ShardId) {
        self.heap.push(Reverse((due, shard)));
    }

    pub(super) fn pop_due(&mut self, now: MonotonicTime) -> Option<(MonotonicTime, ShardId)> {
        let Reverse(first) = *self.heap.peek()?;
        if first.0 > now {
            return None;
        }
        self.heap.pop();
        Some(first)
    }

    /// Due time of the first entry for which `valid` returns true; drops the entries before it.
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
