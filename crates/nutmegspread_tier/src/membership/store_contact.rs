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
/// Load pattern: nodes that lose their link to the store while targets leave. An outage of the store
/// does not silence the other nodes. If most of them fell silent since the last confirmation, this
/// node was cut off.
#[derive(Clone, Debug)]
pub struct StoreContact {
    settings: ContactSettings,
    /// Whether most of the known peers were silent at the last observation.
    is_cut_off: bool,
    /// Last time at which they were.
    cut_off: Option<Instant>,
}

impl StoreContact {
    /// Creates the state of a node that has not heard of any peer.
    pub fn new(settings: ContactSettings) -> Self {
        Self {
            settings,
            is_cut_off: false,
            cut_off: None,
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

    /// Whether the store was unavailable for so long that registrations may have lapsed. `age` is the
    /// time since its last confirmation, to this node or a peer.
    pub fn is_store_away(&self, now: Instant, age: Duration) -> bool {
        let was_cut_off = self
            .cut_off
            .is_some_and(|cut_off| now.saturating_duration_since(cut_off) <= age);
        age > self.settings.lapse_time && !was_cut_off
    }
}
