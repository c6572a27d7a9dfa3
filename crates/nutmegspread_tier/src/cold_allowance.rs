//! Limit on the attempts that one node sends to a cold target.
//!
//! A target is cold for a time after its start. While it is cold, all nodes together may send it
//! only a limited number of attempts per second; the nodes divide this limit among themselves.

use crate::NodeName;
use nutmegspread_model::rank_candidates;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length of the sliding window in which attempts on a cold target are counted.
///
/// The limit holds for the attempts that arrive at the target within one second. Attempts that are
/// sent slightly more than a second apart may arrive less than a second apart, so the window is
/// 50 ms longer than a second.
const COLD_WINDOW: Duration = Duration::from_millis(1050);

/// Returns the share of node `own` in a cold target's limit, in whole attempts per second.
///
/// `total` is the limit on the attempts of all `nodes` together. Each node gets `total` divided by
/// the number of nodes, rounded down. The remainder goes, one attempt each, to the first nodes in
/// an order that differs from target to target. The shares therefore add up to `total` even if
/// there are more nodes than attempts. The share is 0 if `own` is not in `nodes`.
pub fn cold_share(total: u32, target: &str, own: &NodeName, nodes: &[NodeName]) -> u32 {
    let ordered = rank_candidates(target, nodes);
    let Some(index) = ordered.iter().position(|node| *node == own) else {
        return 0;
    };
    let count = ordered.len() as u32;
    total / count + u32::from((index as u32) < total % count)
}

/// Keeps one node within its share of a cold target's limit, with a sliding window of the attempts
/// that the node sent.
#[derive(Clone, Debug, Default)]
pub struct ColdAllowance {
    /// Attempts per second that this node may send; `None` means no limit.
    share: Option<u32>,
    /// When the attempts in the window were sent, oldest first.
    sent_times: VecDeque<Instant>,
}

impl ColdAllowance {
    /// Sets the node's share of the limit, in attempts per second; `None` means no limit.
    pub fn set_share(&mut self, share: Option<u32>) {
        self.share = share;
    }

    /// Whether the node may send one more attempt at `now`.
    pub fn allows(&self, now: Instant) -> bool {
        self.share.is_none_or(|share| {
            let recent = self
                .sent_times
                .iter()
                .filter(|sent| now.saturating_duration_since(**sent) < COLD_WINDOW);
            (recent.count() as u32) < share
        })
    }

    /// Counts an attempt sent at `now`, if there is a limit.
    pub fn count(&mut self, now: Instant) {
        if self.share.is_none() {
            return;
        }
        while self
            .sent_times
            .front()
            .is_some_and(|sent| now.saturating_duration_since(*sent) >= COLD_WINDOW)
        {
            self.sent_times.pop_front();
        }
        self.sent_times.push_back(now);
    }
}
