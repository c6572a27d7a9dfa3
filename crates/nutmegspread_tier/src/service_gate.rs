//! Whether a request over many services can be served at all.

use std::time::{Duration, Instant};

/// When a node counts a service as out of reach.
#[derive(Clone, Copy, Debug)]
pub struct GateSettings {
    /// All targets of a service without an answer for this long are out of reach.
    pub silence: Duration,
    /// Time between requests that are let through all the same, to find out when it is over.
    pub probe_time: Duration,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(350),
            probe_time: Duration::from_millis(150),
        }
    }
}

/// Turns requests away at once while too few of their services are in reach.
///
/// A node that is cut off from its targets would otherwise hold each request until its deadline,
/// although another node could serve it.
#[derive(Clone, Debug, Default)]
pub struct ServiceGate {
    settings: GateSettings,
    probed: Option<Instant>,
}

impl ServiceGate {
    /// Whether a request may go out that needs `least` of its services, of which `in_reach` are.
    pub fn admits(&mut self, now: Instant, in_reach: usize, least: usize) -> bool {
        if in_reach >= least {
            self.probed = None;
            return true;
        }
        let is_due = self
            .probed
            .is_none_or(|probed| now.saturating_duration_since(probed) >= self.settings.probe_time);
        if is_due {
            self.probed = Some(now);
        }
        is_due
    }

    /// Whether the last request found too few services in reach.
    pub fn is_closed(&self) -> bool {
        self.probed.is_some()
    }

    /// Time without an answer after which a target is out of reach.
    pub fn silence(&self) -> Duration {
        self.settings.silence
    }
}
