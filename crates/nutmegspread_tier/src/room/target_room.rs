//! How far the targets of a group of routes are behind the requests of a node.

use crate::room::attempt_share::AttemptShare;
use crate::room::delay_window::DelayWindow;
use crate::room::priority_rank::{PRIORITY_RANKS, priority_rank};
use crate::room::rank_level::RankLevel;
use crate::room::room_settings::{RoomSettings, position};
use std::time::{Duration, Instant};

/// How far the targets of a group of routes are behind the requests of a node, as a level from 0
/// (calm) to 1 (overloaded) for each priority.
///
/// A delay is the time by which a request got enough parts for its answer later than when nothing
/// waits. It contains the wait for a connection and the queues of the targets, and a single slow
/// target hardly changes it.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetRoom {
    settings: RoomSettings,
    /// Delays as fractions of the objective, by rank of the priority.
    delays: [DelayWindow; PRIORITY_RANKS],
    /// Attempts that targets rejected as full.
    rejections: AttemptShare,
    /// Answered attempts that took several times as long as in calm times.
    delayed: AttemptShare,
}

impl TargetRoom {
    /// Creates the room of targets of which nothing is known.
    pub fn new(settings: RoomSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records the delay of a request that could be delayed by `slack` and still meet its objective.
    pub fn record_delay(&mut self, now: Instant, priority: u32, delay: Duration, slack: Duration) {
        let ratio = delay.as_secs_f64() / slack.as_secs_f64().max(1e-3);
        self.delays[priority_rank(priority)].record(&self.settings, now, ratio);
    }

    /// Records whether a target rejected an attempt as full, or was too busy to be sent the attempt.
    pub fn record_attempt(&mut self, now: Instant, is_rejected: bool) {
        self.rejections.record(now, is_rejected);
    }

    /// Records an attempt that was not sent, as it waited at the node for too long.
    pub fn record_late(&mut self, now: Instant) {
        self.rejections.record(now, true);
        self.delayed.record(now, true);
    }

    /// Records the latency of an answered attempt, and the one to be expected in calm times.
    pub fn record_latency(&mut self, now: Instant, latency: Duration, calm: Duration) {
        let is_delayed = latency > calm.mul_f64(self.settings.delayed_factor);
        self.delayed.record(now, is_delayed);
    }

    /// Levels by rank of the priority. Rejections count for the last rank: they call for fewer
    /// requests, whichever are the least urgent.
    ///
    /// A request to many services takes as long as the slowest of them, so a few slow or paused
    /// targets delay every request, and fewer requests would not help. Delays of requests and
    /// rejections therefore count only while many attempts are delayed.
    pub fn levels(&self, now: Instant) -> [RankLevel; PRIORITY_RANKS] {
        let settings = &self.settings;
        let delayed = self.delayed.share(now);
        let largest = position(delayed, settings.calm_delayed, settings.full_delayed);
        let mut levels = self.delays.map(|window| {
            let smallest = window.smallest(settings, now).unwrap_or(0.0);
            RankLevel {
                level: position(smallest, settings.calm_delay, settings.full_delay).min(largest),
                observed: window.completed(),
            }
        });
        let rejected = self.rejections.share(now);
        let level = position(rejected, settings.calm_rejected, settings.full_rejected).min(largest);
        let last = &mut levels[PRIORITY_RANKS - 1];
        if level > last.level {
            *last = RankLevel {
                level,
                observed: Some(now),
            };
        }
        levels
    }

    /// The largest of the levels, from 0 to 1.
    pub fn level(&self, now: Instant) -> f64 {
        let levels = self.levels(now).into_iter();
        levels.map(|rank| rank.level).fold(0.0, f64::max)
    }
}
