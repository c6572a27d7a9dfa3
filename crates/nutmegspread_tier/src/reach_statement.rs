//! Whether a node states to the others that it reaches enough targets to serve callers.

use std::time::{Duration, Instant};

/// How long a node states that it reaches too few targets.
#[derive(Clone, Copy, Debug)]
pub struct ReachSettings {
    /// Time without a request after which the node states again that it serves. Long enough for
    /// callers to have learned of the other nodes.
    pub first_pause: Duration,
    /// Longest such time. It doubles each time that the targets turn out to be out of reach still.
    pub longest_pause: Duration,
}

impl Default for ReachSettings {
    fn default() -> Self {
        Self {
            first_pause: Duration::from_secs(2),
            longest_pause: Duration::from_secs(16),
        }
    }
}

/// Decides whether a node states to the others that it reaches enough targets to serve callers.
///
/// Only requests show whether targets are in reach, and callers send none to a node that is not
/// advertised. After a pause without requests the node is therefore advertised again; while the
/// targets stay out of reach, the first requests after each pause fail or are sent to another node.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReachStatement {
    settings: ReachSettings,
    /// Time of the last request that found too few targets in reach; `None` if a later one found
    /// enough.
    unreached: Option<Instant>,
    /// Pause after `unreached`, or the last one if that is `None`.
    pause: Duration,
    /// Time at which the last pause began to run, with the first request after it that failed to
    /// reach targets.
    paused: Option<Instant>,
}

impl ReachStatement {
    /// Records whether a request found enough targets in reach. Returns whether this changes what the
    /// node states.
    pub fn record(&mut self, now: Instant, is_reached: bool) -> bool {
        let served = self.serves(now);
        if is_reached {
            self.unreached = None;
        } else {
            if served {
                self.pause = self.next_pause(now);
                self.paused = Some(now);
            }
            self.unreached = Some(now);
        }
        served != is_reached
    }

    /// Whether the node states that it serves callers.
    pub fn serves(&self, now: Instant) -> bool {
        self.unreached
            .is_none_or(|unreached| now.saturating_duration_since(unreached) >= self.pause)
    }

    /// Pause that begins now: twice the last one, if that was over only a short time ago.
    fn next_pause(&self, now: Instant) -> Duration {
        let ReachSettings {
            first_pause,
            longest_pause,
        } = self.settings;
        let is_repeated = self.paused.is_some_and(|paused| {
            now.saturating_duration_since(paused) < self.pause + longest_pause
        });
        if is_repeated {
            (self.pause * 2).min(longest_pause)
        } else {
            first_pause
        }
    }
}
