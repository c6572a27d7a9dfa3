//! Send times of this node's heartbeats.

use nutmegspread_model::MonotonicTime;
use std::collections::VecDeque;

/// Maximum number of send times to keep.
const MAXIMUM_ENTRIES: usize = 256;

/// When this node sent its recent heartbeats, by the sequence of the report that they carried.
///
/// A peer acknowledges a heartbeat by this sequence; the log gives the time, on this node's clock,
/// at which the acknowledged heartbeat was sent.
#[derive(Clone, Debug, Default)]
pub struct SentLog {
    /// Sequence of the latest heartbeat; 0 before the first one.
    sequence: u64,
    /// Sequences and send times, oldest first.
    entries: VecDeque<(u64, MonotonicTime)>,
}

impl SentLog {
    /// Records that the next heartbeat is sent at `now`, and returns its sequence.
    ///
    /// Heartbeats sent to several peers at the same time count as one.
    pub fn record_send(&mut self, now: MonotonicTime) -> u64 {
        self.sequence += 1;
        self.entries.push_back((self.sequence, now));
        if self.entries.len() > MAXIMUM_ENTRIES {
            self.entries.pop_front();
        }
        self.sequence
    }

    /// When the heartbeat with this sequence was sent; `None` if it is not in the log.
    pub fn sent_at(&self, sequence: u64) -> Option<MonotonicTime> {
        let position = self
            .entries
            .binary_search_by_key(&sequence, |entry| entry.0)
            .ok()?;
        Some(self.entries[position].1)
    }
}
