//! Limit on the requests per second that one node sends to a cold target.

use crate::NodeName;
use nutmegspread_model::rank_candidates;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length of the sliding window in which requests to a cold target are counted.
///
/// 50 ms more than the second for which the limit is defined.
const COLD_WINDOW: Duration = Duration::from_millis(1050);

/// Returns the share of node `own` in a cold target's limit, in whole requests.
///
/// Each node gets the quotient of `limit` and the number of nodes. The remainder goes, one request
/// each, to the first nodes in a ranking that differs from target to target. The shares therefore
/// add up to `limit` even if there are more nodes than requests. The share is 0 if `own` is not in
/// `nodes`.
pub fn cold_share(limit: u32, target: &str, own: &NodeName, nodes: &[NodeName]) -> u32 {
    let ranked = rank_candidates(target, nodes);
    let Some(rank) = ranked.iter().position(|node| *node == own) else {
        return 0;
    };
    let count = ranked.len() as u32;
    limit / count + u32::from((rank as u32) < limit % count)
}

/// One node's share of a cold target's limit on requests per second, as a sliding window.
#[derive(Clone, Debug, Default)]
pub struct ColdAllowance {
    /// Requests per second; `None` means no limit.
    limit: Option<u32>,
    /// When the attempts in the window were sent, oldest first.
    sent_times: VecDeque<Instant>,
}

impl ColdAllowance {
    /// Sets the limit in requests per second; `None` means no limit.
    pub fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit;
    }

    /// Whether the limit allows one more attempt.
    pub fn allows(&self, now: Instant) -> bool {
        self.limit.is_none_or(|limit| {
            let recent = self
                .sent_times
                .iter()
                .filter(|sent| now.saturating_duration_since(**sent) < COLD_WINDOW);
            (recent.count() as u32) < limit
        })
    }

    /// Counts an attempt sent at `now`, if there is a limit.
    pub fn count(&mut self, now: Instant) {
        if self.limit.is_none() {
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
