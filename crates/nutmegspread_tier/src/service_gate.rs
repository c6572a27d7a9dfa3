//! Refuses requests while too few of their services are in reach.

use std::time::{Duration, Instant};

/// When a service counts as out of reach, and how often this is probed.
#[derive(Clone, Copy, Debug)]
pub struct GateSettings {
    /// A target with an attempt that is unanswered for this long is out of reach; a service is out
    /// of reach if all its targets are.
    pub silence: Duration,
    /// Interval at which one request is admitted although too few services are in reach, to find
    /// out whether they are in reach again.
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

/// Refuses requests at once while too few of their services are in reach.
///
/// Without the gate, a node that is cut off from its targets would keep each request waiting until
/// the deadline although another node could serve it.
#[derive(Clone, Debug, Default)]
pub struct ServiceGate {
    settings: GateSettings,
    /// Time of the last probe; `None` if enough services are in reach.
    probed: Option<Instant>,
}

impl ServiceGate {
    /// Whether to send a request that needs `least` of its services while `in_reach` of them are in
    /// reach.
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

    /// Age of an unanswered attempt from which its target is out of reach.
    pub fn silence(&self) -> Duration {
        self.settings.silence
    }
}
