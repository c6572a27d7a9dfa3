//! What admission knows of one route.

use crate::admission::admission_settings::AdmissionSettings;
use crate::room::{CalmLatency, DelayWindow, RoomSettings};
use std::time::{Duration, Instant};

/// Time after which the latest latencies no longer tell how long an answer takes. Once every request
/// of a route is refused, there are no new latencies, so this is also the time until one is admitted.
const FORECAST_TIME: Duration = Duration::from_millis(300);
/// Latency that is assumed before any answer, as a fraction of the objective.
const DEFAULT_FRACTION: f64 = 0.2;

/// What admission knows of one route.
#[derive(Clone, Debug)]
pub(crate) struct RouteAdmission {
    /// Number of the route's group.
    pub group: usize,
    /// Latency of the route's requests when nothing waits.
    pub calm: CalmLatency,
    /// Latency of its attempts when nothing waits.
    pub calm_attempt: CalmLatency,
    /// Latest latencies in seconds.
    latencies: DelayWindow,
    forecast: RoomSettings,
}

impl RouteAdmission {
    /// Creates the state of a route without requests.
    pub fn new(settings: &AdmissionSettings, group: usize) -> Self {
        Self {
            group,
            calm: CalmLatency::default(),
            calm_attempt: CalmLatency::default(),
            latencies: DelayWindow::default(),
            forecast: RoomSettings {
                stale_after: FORECAST_TIME,
                ..settings.room
            },
        }
    }

    /// The same state, in another group.
    pub fn in_group(self, group: usize) -> Self {
        Self { group, ..self }
    }

    /// Records after what time a request had enough parts for its answer, or was given up.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        self.latencies
            .record(&self.forecast, now, latency.as_secs_f64());
    }

    /// Smallest time until an answer among the latest requests, waiting included; `None` if there
    /// were few.
    pub fn expected(&self, now: Instant) -> Option<Duration> {
        let smallest = self.latencies.smallest(&self.forecast, now);
        smallest.map(Duration::from_secs_f64)
    }

    /// Work that a request to `parts` services causes at targets, in seconds.
    pub fn work(&self, parts: usize, objective: Duration) -> f64 {
        let calm = self.calm.estimate();
        let latency = calm.unwrap_or(objective.mul_f64(DEFAULT_FRACTION));
        latency.as_secs_f64() * parts as f64
    }
}
