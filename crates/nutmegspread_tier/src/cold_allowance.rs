//! How many requests a second a cold target gets from one node.

use crate::NodeName;
use nutmegspread_model::rank_candidates;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length of the window for which a cold target's limit holds.
const COLD_WINDOW: Duration = Duration::from_millis(1050);

/// The part of node `own` in what a cold target bears, in whole requests.
///
/// What is left once all nodes have the same part goes to the first ones in an order that is the
/// target's own, so the parts add up to the limit also where nodes outnumber it.
pub fn cold_share(limit: u32, target: &str, own: &NodeName, nodes: &[NodeName]) -> u32 {
    let ranked = rank_candidates(target, nodes);
    let Some(rank) = ranked.iter().position(|node| *node == own) else {
        return 0;
    };
    let count = ranked.len() as u32;
    limit / count + u32::from((rank as u32) < limit % count)
}

/// One node's part of what a cold target bears, over any span of a second.
#[derive(Clone, Debug, Default)]
pub struct ColdAllowance {
    /// Sends a second, or no limit.
    limit: Option<u32>,
    sends: VecDeque<Instant>,
}

impl ColdAllowance {
    /// Sets the limit; nothing stands for none.
    pub fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit;
    }

    /// Whether one more send is within the limit.
    pub fn allows(&self, now: Instant) -> bool {
        self.limit.is_none_or(|limit| {
            let recent = self
                .sends
                .iter()
                .filter(|sent| now.saturating_duration_since(**sent) < COLD_WINDOW);
            (recent.count() as u32) < limit
        })
    }

    /// Counts a send.
    pub fn count(&mut self, now: Instant) {
        if self.limit.is_none() {
            return;
        }
        while self
            .sends
            .front()
            .is_some_and(|sent| now.saturating_duration_since(*sent) >= COLD_WINDOW)
        {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }
}
