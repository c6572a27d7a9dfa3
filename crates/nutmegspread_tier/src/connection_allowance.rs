//! Limit on the connections that a node opens to one target.

use std::time::{Duration, Instant};

/// After the target has reset a connection, the limit grows by one connection each time this
/// interval has passed.
const RAISE_INTERVAL: Duration = Duration::from_millis(1500);
/// Delay before the node opens a connection again after a first reset that left it without any
/// connection to the target.
const FIRST_DELAY: Duration = Duration::from_millis(40);
/// Longest delay before the node opens a connection again. Each further reset that leaves the node
/// without a connection doubles the delay up to this.
const LONGEST_DELAY: Duration = Duration::from_millis(320);

/// Limit on the connections that a node opens to one target.
///
/// All nodes share the target's limit on connections, and the target resets connections beyond this
/// limit. After a node has lost power, the target may still count the connections of that node, and
/// then accepts fewer connections from the other nodes than their shares add up to. After a reset,
/// the node is therefore limited to the connections that stayed open, and its limit grows step by
/// step up to its share.
#[derive(Clone, Debug)]
pub struct ConnectionAllowance {
    /// This node's share of the target's limit.
    share: usize,
    /// Number of connections, at least 1, that stayed open when the target last reset one, and the
    /// time of this reset.
    last_reset: Option<(usize, Instant)>,
    /// Delay after the next reset that leaves the node without a connection.
    delay: Duration,
    /// Earliest time at which a connection may be opened again; `None` if there is no delay.
    not_before: Option<Instant>,
}

impl Default for ConnectionAllowance {
    fn default() -> Self {
        Self {
            share: 1,
            last_reset: None,
            delay: FIRST_DELAY,
            not_before: None,
        }
    }
}

impl ConnectionAllowance {
    /// Sets the node's share of the target's limit; 0 counts as 1.
    pub fn set_share(&mut self, share: usize) {
        self.share = share.max(1);
    }

    /// Largest number of connections that the node may have open at `now`; at least 1.
    pub fn limit(&self, now: Instant) -> usize {
        self.last_reset.map_or(self.share, |(accepted, at)| {
            let steps = now.saturating_duration_since(at).as_millis() / RAISE_INTERVAL.as_millis();
            (accepted + steps as usize).clamp(1, self.share)
        })
    }

    /// Whether the node may open one more connection while `open` are open.
    pub fn may_open(&self, now: Instant, open: usize) -> bool {
        open < self.limit(now) && self.not_before.is_none_or(|at| now >= at)
    }

    /// Records that the target reset a connection before its first answer, while `open` others
    /// stayed open.
    pub fn record_reset(&mut self, now: Instant, open: usize) {
        self.last_reset = Some((open.max(1), now));
        if open == 0 {
            self.not_before = Some(now + self.delay);
            self.delay = (self.delay * 2).min(LONGEST_DELAY);
        }
    }

    /// Records an answer on a connection, which ends the delay after resets.
    pub fn record_answer(&mut self) {
        self.delay = FIRST_DELAY;
        self.not_before = None;
    }

    /// Earliest time at which a connection may be opened again; `None` if there is no delay.
    pub fn not_before(&self) -> Option<Instant> {
        self.not_before
    }
}
