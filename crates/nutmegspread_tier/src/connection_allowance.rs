//! Limit on the connections that a node opens to one target.

use std::time::{Duration, Instant};

/// Interval at which the limit grows by one connection after the target has reset one.
const RAISE_INTERVAL: Duration = Duration::from_millis(1500);
/// First delay before the node tries to connect again to a target that has accepted none of its
/// connections.
const FIRST_DELAY: Duration = Duration::from_millis(40);
/// Longest delay before the node tries to connect again; each reset doubles the delay up to this.
const LONGEST_DELAY: Duration = Duration::from_millis(320);

/// Limit on the connections that a node opens to one target.
///
/// All nodes share the target's limit, and the target resets connections beyond it. After a node
/// lost power, the target may still count the connections of that node, so that it accepts fewer
/// than the nodes' shares add up to. This type learns from resets how many the target accepts and
/// raises the limit step by step to the node's share.
#[derive(Clone, Debug)]
pub struct ConnectionAllowance {
    /// This node's share of the target's limit.
    share: usize,
    /// Connections that the target accepted at its last reset, and the time of this reset.
    learned: Option<(usize, Instant)>,
    /// Delay after the next reset that leaves the node without a connection.
    delay: Duration,
    not_before: Option<Instant>,
}

impl Default for ConnectionAllowance {
    fn default() -> Self {
        Self {
            share: 1,
            learned: None,
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

    /// Connections that the node may have open at `now`; at least 1.
    pub fn limit(&self, now: Instant) -> usize {
        self.learned.map_or(self.share, |(accepted, at)| {
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
        self.learned = Some((open.max(1), now));
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
