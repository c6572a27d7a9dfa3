//! How warm targets are, as their owners tell each other.

use super::PeerMessage;
use crate::target::WarmthMark;
use indexmap::IndexMap;
use nutmegspread_model::{MonotonicTime, TargetId};
use std::time::Duration;

const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Latest marks of targets, merged by maximum, and when they are told again.
#[derive(Clone, Debug, Default)]
pub struct WarmthTable {
    marks: IndexMap<TargetId, WarmthMark>,
    repeat_at: MonotonicTime,
}

impl WarmthTable {
    /// Takes a mark; returns whether it is later than the known one.
    pub fn merge(&mut self, target: &TargetId, mark: WarmthMark) -> bool {
        let known = self.marks.entry(target.clone()).or_default();
        let later = mark > *known;
        *known = mark.max(*known);
        later
    }

    /// Forgets targets that are no longer in the configuration.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.marks.retain(|target, _| keep(target));
    }

    /// All marks, when it is time to repeat them: a lost message is made good by the next one.
    pub fn repeat(&mut self, now: MonotonicTime) -> Option<PeerMessage> {
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
