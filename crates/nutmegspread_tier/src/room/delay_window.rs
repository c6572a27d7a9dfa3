//! Smallest delay over an interval.

use crate::room::room_settings::RoomSettings;
use std::time::Instant;

/// Samples of one interval.
#[derive(Clone, Copy, Debug)]
struct DelayInterval {
    started: Instant,
    samples: u32,
    smallest: f64,
}

/// Smallest delay over the last complete interval and the one that has begun since.
///
/// A queue that only takes up a burst is empty again within the interval, so the smallest delay is
/// near 0; a queue that stands has a delay at all times. Source: CoDel, Nichols and Jacobson,
/// "Controlling Queue Delay", 2012. Unlike there, an interval lasts until it has enough samples, as a
/// node may get a few requests a second only.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayWindow {
    current: Option<DelayInterval>,
    /// Smallest delay and end of the last complete interval.
    last: Option<(f64, Instant)>,
}

impl DelayWindow {
    /// Adds a delay that was observed at `now`.
    pub fn record(&mut self, settings: &RoomSettings, now: Instant, delay: f64) {
        let is_stale = self.current.is_some_and(|interval| {
            now.saturating_duration_since(interval.started) >= settings.stale_after
        });
        if is_stale {
            self.current = None;
        }
        let interval = self.current.get_or_insert(DelayInterval {
            started: now,
            samples: 0,
            smallest: f64::INFINITY,
        });
        interval.samples += 1;
        interval.smallest = interval.smallest.min(delay);
        let is_complete = interval.samples >= settings.least_samples
            && now.saturating_duration_since(interval.started) >= settings.interval;
        if is_complete {
            self.last = Some((interval.smallest, now));
            self.current = None;
        }
    }

    /// Time at which the last interval was complete.
    pub fn completed(&self) -> Option<Instant> {
        self.last.map(|(_, ended)| ended)
    }

    /// The smallest delay; `None` if no interval was completed lately.
    pub fn smallest(&self, settings: &RoomSettings, now: Instant) -> Option<f64> {
        let (last, ended) = self.last?;
        if now.saturating_duration_since(ended) >= settings.stale_after {
            return None;
        }
        let current = self
            .current
            .map_or(f64::INFINITY, |interval| interval.smallest);
        Some(last.min(current))
    }
}
