//! Decides whether to refuse requests because too few of their services are in reach.

use std::time::{Duration, Instant};

/// When a service counts as out of reach, and how often requests probe whether it is back in reach.
#[derive(Clone, Copy, Debug)]
pub struct GateSettings {
    /// A target is out of reach while one of its attempts has been unanswered for this long. A
    /// service is out of reach if all its targets are.
    pub silence: Duration,
    /// While too few services are in reach, one request is admitted per interval of this length, to
    /// probe whether they are back in reach.
    pub probe_interval: Duration,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(350),
            probe_interval: Duration::from_millis(150),
        }
    }
}

/// Decides for each request on a route whether to refuse it at once, because too few of its
/// services are in reach.
///
/// Without the gate, a node that is cut off from its targets would keep each request waiting until
/// its deadline, although another node could serve the request.
#[derive(Clone, Debug, Default)]
pub struct ServiceGate {
    settings: GateSettings,
    /// Time at which a request was last admitted as a probe; `None` if enough services were in
    /// reach at the last request.
    probed: Option<Instant>,
}

impl ServiceGate {
    /// Decides whether to admit a request that needs an answer from `least` of its services while
    /// `in_reach` of them are in reach. If there are too few, the request is admitted only as a
    /// probe, and the time of the probe is recorded.
    pub fn admits(&mut self, now: Instant, in_reach: usize, least: usize) -> bool {
        if in_reach >= least {
            self.probed = None;
            return true;
        }
        let is_due = self.probed.is_none_or(|probed| {
            now.saturating_duration_since(probed) >= self.settings.probe_interval
        });
        if is_due {
            self.probed = Some(now);
        }
        is_due
    }

    /// Whether too few services were in reach at the last request.
    pub fn is_closed(&self) -> bool {
        self.probed.is_some()
    }

    /// Age of an unanswered attempt from which the target of the attempt is out of reach.
    pub fn silence(&self) -> Duration {
        self.settings.silence
    }
}
