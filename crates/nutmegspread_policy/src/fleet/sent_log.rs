//! Send times of this node's reports.

use nutmegspread_model::MonotonicTime;
use std::collections::VecDeque;

/// Number of reports whose send times are kept.
const MAXIMUM_ENTRIES: usize = 256;

/// Send times of recent reports by sequence, which date an acknowledgement on this node's clock.
#[derive(Clone, Debug, Default)]
pub struct SentLog {
    sequence: u64,
    entries: VecDeque<(u64, MonotonicTime)>,
}

impl SentLog {
    /// Records a report sent at `now` and returns its sequence.
    pub fn next(&mut self, now: MonotonicTime) -> u64 {
        self.sequence += 1;
        self.entries.push_back((self.sequence, now));
        if self.entries.len() > MAXIMUM_ENTRIES {
            self.entries.pop_front();
        }
        self.sequence
    }

    /// When the report with the given sequence was sent; `None` if it is no longer in the log.
    pub fn sent_at(&self, sequence: u64) -> Option<MonotonicTime> {
        let position = self
            .entries
            .binary_search_by_key(&sequence, |entry| entry.0)
            .ok()?;
        Some(self.entries[position].1)
    }
}
