//! When this node sent which report.

use nutmegspread_model::MonotonicTime;
use std::collections::VecDeque;

const MAXIMUM_ENTRIES: usize = 256;

/// Send times by sequence, so that an acknowledgement can be dated on this node's clock.
#[derive(Clone, Debug, Default)]
pub struct SentLog {
    sequence: u64,
    entries: VecDeque<(u64, MonotonicTime)>,
}

impl SentLog {
    /// Sequence for a report that is made now.
    pub fn next(&mut self, now: MonotonicTime) -> u64 {
        self.sequence += 1;
        self.entries.push_back((self.sequence, now));
        if self.entries.len() > MAXIMUM_ENTRIES {
            self.entries.pop_front();
        }
        self.sequence
    }

    /// When the report with a sequence was made; `None` when that is too long ago.
    pub fn sent_at(&self, sequence: u64) -> Option<MonotonicTime> {
        let position = self
            .entries
            .binary_search_by_key(&sequence, |entry| entry.0)
            .ok()?;
        Some(self.entries[position].1)
    }
}
