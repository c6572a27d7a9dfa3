//! What a target asked of this node in its answers: to be left, or a pause.

use std::time::{Duration, Instant};

/// What a target asked of this node in its answers: to be left, or a pause.
///
/// A wish is older than what the store says and holds for one start of the target; a target that has
/// started again needs new wishes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetWishes {
    /// Time from which the target gets nothing more, because it leaves.
    left_from: Option<Instant>,
    /// Time until which the target wants no requests.
    paused_until: Option<Instant>,
}

impl TargetWishes {
    /// Records that the target said that it leaves; `drain_time` is how long it may still get
    /// requests. Returns whether this is new.
    pub fn record_leaving(&mut self, now: Instant, drain_time: Duration) -> bool {
        let is_new = self.left_from.is_none();
        self.left_from.get_or_insert(now + drain_time);
        is_new
    }

    /// Records that the target wants no requests for `pause`. Of several pauses, the one that ends
    /// last holds. Returns whether the target was not paused before.
    pub fn record_pause(&mut self, now: Instant, pause: Duration) -> bool {
        let is_new = !pause.is_zero() && !self.is_paused(now);
        self.paused_until = self.paused_until.max(Some(now + pause));
        is_new
    }

    /// Whether the target may get a request at `now`.
    pub fn allows(&self, now: Instant) -> bool {
        !self.is_paused(now) && self.left_from.is_none_or(|left_from| now < left_from)
    }

    /// Whether the target said that it leaves, so that others are preferred.
    pub fn is_leaving(&self) -> bool {
        self.left_from.is_some()
    }

    /// Earliest time from `now` on at which the target may get a request; `None` if it leaves
    /// before.
    pub fn next_allowed(&self, now: Instant) -> Option<Instant> {
        let next = self.paused_until.map_or(now, |until| until.max(now));
        self.left_from
            .is_none_or(|left_from| next < left_from)
            .then_some(next)
    }

    /// Time from which the target gets nothing more, if it leaves.
    pub fn left_from(&self) -> Option<Instant> {
        self.left_from
    }

    /// Time until which the target wants no requests, if it asked for a pause.
    pub fn paused_until(&self) -> Option<Instant> {
        self.paused_until
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }
}
