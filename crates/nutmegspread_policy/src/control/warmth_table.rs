//! How warm targets are, as exchanged between their owners, the nodes that own shares of a target's
//! limits.
//!
//! A target that has just started is cold and bears less than its limits until it is warm.

use super::PeerMessage;
use crate::target::WarmthMark;
use indexmap::IndexMap;
use nutmegspread_model::{MonotonicTime, TargetId};
use std::time::Duration;

/// Interval at which all marks are resent, so that a lost message has no lasting effect.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The highest warmth mark of each target, and the time at which to resend them all.
#[derive(Clone, Debug, Default)]
pub struct WarmthTable {
    marks: IndexMap<TargetId, WarmthMark>,
    repeat_at: MonotonicTime,
}

impl WarmthTable {
    /// Stores a mark if it is higher than the known one; returns whether it was.
    pub fn merge(&mut self, target: &TargetId, mark: WarmthMark) -> bool {
        let known = self.marks.entry(target.clone()).or_default();
        let is_higher = mark > *known;
        *known = mark.max(*known);
        is_higher
    }

    /// Removes the marks of targets for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.marks.retain(|target, _| keep(target));
    }

    /// A message with all marks, if it is due and there are any; `None` otherwise.
    pub fn message_if_due(&mut self, now: MonotonicTime) -> Option<PeerMessage> {
        if now < self.repeat_at || self.marks.is_empty() {
            return None;
        }
        self.repeat_at = now + REPEAT_INTERVAL;
        let marks = self
            .marks
            .iter()
            .map(|(target, mark)| (target.clone(), *mark))
            .collect();
        Some(PeerMessage::Warmth { marks })
    }
}
