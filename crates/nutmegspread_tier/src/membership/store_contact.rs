//! Whether the store is unavailable to all nodes, or only this node is cut off from it.

use std::time::{Duration, Instant};

/// How long an outage of the store has to last to be one in which registrations lapse.
#[derive(Clone, Copy, Debug)]
pub struct ContactSettings {
    /// Shortest outage of the store in which a registration lapses.
    pub lapse_time: Duration,
}

impl Default for ContactSettings {
    fn default() -> Self {
        Self {
            lapse_time: Duration::from_millis(2400),
        }
    }
}

/// Tells an outage of the store, in which registrations lapse although their targets are alive, from
/// a time in which this node alone was cut off, when a removal from the store is meant.
///
/// Load pattern: nodes that lose their link to the store while targets leave. In an outage, no node
/// gets a confirmation of the store, but the nodes still hear each other. If a peer got one in the
/// meantime, or if most peers fell silent, this node was cut off.
#[derive(Clone, Debug)]
pub struct StoreContact {
    settings: ContactSettings,
    /// Whether most of the known peers were silent at the last observation.
    is_cut_off: bool,
    /// Last time at which they were.
    cut_off: Option<Instant>,
    /// Time of the last confirmation that any node got, as far as this one has heard.
    confirmed: Option<Instant>,
    /// Time of the last confirmation that was the first one for `lapse_time`.
    returned: Option<Instant>,
}

impl StoreContact {
    /// Creates the state of a node that has not heard of any peer.
    pub fn new(settings: ContactSettings) -> Self {
        Self {
            settings,
            is_cut_off: false,
            cut_off: None,
            confirmed: None,
            returned: None,
        }
    }

    /// Records how many of the `known_peers` are live at `now`.
    pub fn observe_peers(&mut self, now: Instant, live_peers: usize, known_peers: usize) {
        // Peers that were silent for long are forgotten; the node is cut off until it hears some.
        if known_peers > 0 {
            self.is_cut_off = live_peers * 2 < known_peers;
        }
        if self.is_cut_off {
            self.cut_off = Some(now);
        }
    }

    /// Whether most of the known peers were silent at the last observation.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Records that the store confirmed objects to this node or a peer at `at`.
    pub fn record_confirmation(&mut self, at: Instant) {
        let last = self.confirmed.max(Some(at));
        let is_first = self.confirmed.is_none_or(|confirmed| {
            at.saturating_duration_since(confirmed) > self.settings.lapse_time
        });
        if is_first {
            self.returned = Some(at);
        }
        self.confirmed = last;
    }

    /// Whether the store was unavailable for so long that registrations may have lapsed. `age` is the
    /// time since it last confirmed this node's objects, to the node or a peer.
    pub fn is_store_away(&self, now: Instant, age: Duration) -> bool {
        let is_within = |at: Instant| now.saturating_duration_since(at) <= age;
        let is_unconfirmed = self.confirmed.is_none_or(|confirmed| {
            now.saturating_duration_since(confirmed) > self.settings.lapse_time
        });
        age > self.settings.lapse_time
            && (is_unconfirmed || self.returned.is_some_and(is_within))
            && !self.cut_off.is_some_and(is_within)
    }
}
