//! How far a node is behind its own work.

use crate::room::delay_window::DelayWindow;
use crate::room::rank_level::RankLevel;
use crate::room::room_settings::{RoomSettings, position};
use std::time::{Duration, Instant};

/// Time for which an objective counts after its last request.
const OBJECTIVE_TIME: Duration = Duration::from_secs(2);

/// How far a node is behind its own work, as a level from 0 (calm) to 1 (overloaded).
///
/// The lateness of a periodic timer on the traffic thread is the time that everything on this thread
/// waits: for the processor, and behind the work that became ready before. It is compared with the
/// smallest objective of the requests that the node gets.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeRoom {
    settings: RoomSettings,
    /// Lateness in seconds.
    lateness: DelayWindow,
    /// Smallest recent objective and the time of its last request.
    objective: Option<(Duration, Instant)>,
}

impl NodeRoom {
    /// Creates the room of a node that has just started.
    pub fn new(settings: RoomSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records by how much the timer was late.
    pub fn record_lateness(&mut self, now: Instant, lateness: Duration) {
        self.lateness
            .record(&self.settings, now, lateness.as_secs_f64());
    }

    /// Records the objective of a request.
    pub fn record_request(&mut self, now: Instant, objective: Duration) {
        let is_kept = self.objective.is_some_and(|(known, seen)| {
            known < objective && now.saturating_duration_since(seen) < OBJECTIVE_TIME
        });
        if !is_kept {
            self.objective = Some((objective, now));
        }
    }

    /// Smallest lateness over the last interval.
    pub fn lateness(&self, now: Instant) -> Duration {
        let smallest = self.lateness.smallest(&self.settings, now);
        Duration::from_secs_f64(smallest.unwrap_or(0.0))
    }

    /// The level as one that all ranks of priorities have.
    pub fn rank_level(&self, now: Instant) -> RankLevel {
        RankLevel {
            level: self.level(now),
            observed: self.lateness.completed(),
        }
    }

    /// The level, from 0 to 1; 0 while nothing is known.
    pub fn level(&self, now: Instant) -> f64 {
        let Some((objective, _)) = self.objective else {
            return 0.0;
        };
        let ratio = self.lateness(now).as_secs_f64() / objective.as_secs_f64().max(1e-3);
        position(
            ratio,
            self.settings.calm_lateness,
            self.settings.full_lateness,
        )
    }
}
