//! Thresholds between calm and overloaded.

use std::time::Duration;

/// Thresholds between calm and overloaded. Delays are fractions of the delay with which the requests
/// would still meet their objective; lateness is a fraction of the objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomSettings {
    /// Shortest time over which the smallest delay is taken; bursts that end within it do not count.
    pub interval: Duration,
    /// Fewest samples of which the smallest delay is taken. With fewer, one paused target or one
    /// slow request would count.
    pub least_samples: u32,
    /// Time after which an observation says nothing any more.
    pub stale_after: Duration,
    /// Delay of answers up to which the level is 0.
    pub calm_delay: f64,
    /// Delay of answers from which the level is 1.
    pub full_delay: f64,
    /// Multiple of the calm latency from which an attempt counts as delayed.
    pub delayed_factor: f64,
    /// Share of delayed attempts up to which the delay of answers does not count.
    pub calm_delayed: f64,
    /// Share of delayed attempts from which it counts in full.
    pub full_delayed: f64,
    /// Lateness of the node's timer up to which the level is 0.
    pub calm_lateness: f64,
    /// Lateness of the node's timer from which the level is 1.
    pub full_lateness: f64,
    /// Share of attempts that targets reject as full up to which the level is 0.
    pub calm_rejected: f64,
    /// Share of attempts that targets reject as full from which the level is 1.
    pub full_rejected: f64,
}

impl Default for RoomSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(100),
            least_samples: 6,
            stale_after: Duration::from_secs(1),
            calm_delay: 0.2,
            full_delay: 0.8,
            delayed_factor: 3.0,
            calm_delayed: 0.35,
            full_delayed: 0.65,
            calm_lateness: 0.1,
            full_lateness: 0.5,
            calm_rejected: 0.15,
            full_rejected: 0.6,
        }
    }
}

/// Position of `value` between `calm` and `full`, from 0 to 1.
pub(crate) fn position(value: f64, calm: f64, full: f64) -> f64 {
    ((value - calm) / (full - calm)).clamp(0.0, 1.0)
}
