//! Progress of a body that is being received.

use std::time::{Duration, Instant};

/// Time limits on the bodies of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressSettings {
    /// Time from the first wait for a body until it has to be complete.
    pub body_time: Duration,
    /// Time without progress after which a body or request head has stalled and may be evicted.
    pub stall_time: Duration,
    /// Bytes that count as progress; fewer do not, so that a client which sends one byte at a time
    /// stalls as well.
    pub least_bytes: usize,
}

impl Default for ProgressSettings {
    fn default() -> Self {
        Self {
            body_time: Duration::from_secs(10),
            stall_time: Duration::from_millis(250),
            least_bytes: 1024,
        }
    }
}

/// Progress of one body that is being received.
#[derive(Clone, Copy, Debug)]
pub struct BodyProgress {
    settings: ProgressSettings,
    started: Instant,
    /// Time of the last progress.
    progressed: Instant,
    /// Bytes received since then.
    unmarked: usize,
}

impl BodyProgress {
    /// Starts at `now` without any byte.
    pub fn new(settings: ProgressSettings, now: Instant) -> Self {
        Self {
            settings,
            started: now,
            progressed: now,
            unmarked: 0,
        }
    }

    /// Counts bytes that were received; returns whether they make progress.
    pub fn record(&mut self, bytes: usize, now: Instant) -> bool {
        self.unmarked += bytes;
        let has_progressed = self.unmarked >= self.settings.least_bytes;
        if has_progressed {
            self.unmarked = 0;
            self.progressed = now;
        }
        has_progressed
    }

    /// Time by which the body has to be complete.
    pub fn end_time(&self) -> Instant {
        self.started + self.settings.body_time
    }

    /// Time since the last progress, if the body has stalled.
    pub fn stalled(&self, now: Instant) -> Option<Duration> {
        let waited = now.saturating_duration_since(self.progressed);
        (waited >= self.settings.stall_time).then_some(waited)
    }
}
