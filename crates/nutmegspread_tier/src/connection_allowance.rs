//! How many connections a node opens to one target.

use std::time::{Duration, Instant};

/// Time after which one more connection is tried than a target last bore.
const RAISE_TIME: Duration = Duration::from_millis(1500);
/// Pause before a connection is tried again where the target bears none.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(320);

/// How many connections a node opens to one target.
///
/// A target resets connections beyond its limit, which all nodes share. It may still count those
/// of a node that lost power, so a node's part can be more than there is room for; what was reset
/// tells how much room there is.
#[derive(Clone, Debug)]
pub struct ConnectionAllowance {
    part: usize,
    learned: Option<(usize, Instant)>,
    pause: Duration,
    not_before: Option<Instant>,
}

impl Default for ConnectionAllowance {
    fn default() -> Self {
        Self {
            part: 1,
            learned: None,
            pause: FIRST_PAUSE,
            not_before: None,
        }
    }
}

impl ConnectionAllowance {
    /// Sets the node's part of the target's limit.
    pub fn set_share(&mut self, part: usize) {
        self.part = part.max(1);
    }

    /// Connections that the node may have by now; never 0.
    pub fn limit(&self, now: Instant) -> usize {
        self.learned.map_or(self.part, |(borne, at)| {
            let steps = now.saturating_duration_since(at).as_millis() / RAISE_TIME.as_millis();
            (borne + steps as usize).clamp(1, self.part)
        })
    }

    /// Whether a connection may be opened beside `open` others.
    pub fn may_open(&self, now: Instant, open: usize) -> bool {
        open < self.limit(now) && self.not_before.is_none_or(|at| now >= at)
    }

    /// Notes that a connection was reset before its first answer, with `open` others left.
    pub fn record_reset(&mut self, now: Instant, open: usize) {
        self.learned = Some((open.max(1), now));
        if open == 0 {
            self.not_before = Some(now + self.pause);
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Notes an answer on a connection.
    pub fn record_answer(&mut self) {
        self.pause = FIRST_PAUSE;
        self.not_before = None;
    }

    /// When a connection may be opened again, while that is put off.
    pub fn not_before(&self) -> Option<Instant> {
        self.not_before
    }
}
