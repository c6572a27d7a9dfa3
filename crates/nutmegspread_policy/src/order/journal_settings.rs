//! Settings of the order journal.

use super::OrderClaim;
use crate::platform::BackoffSettings;
use nutmegspread_model::{Incarnation, NodeId};
use std::sync::Arc;
use std::time::Duration;

/// Bounds and delays of one partition of the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalSettings {
    /// How long after its issue a key may still be claimed.
    pub retention: Duration,
    /// Largest difference between two clocks of callers and nodes.
    pub clock_skew: Duration,
    /// Longest wait of an order for its claim.
    pub claim_wait: Duration,
    /// Longest wait for the outcome of an order that another process claimed.
    pub outcome_wait: Duration,
    /// Time between looks at such an order.
    pub poll_interval: Duration,
    /// How long an outcome may wait for other writes to go along with.
    pub record_delay: Duration,
    /// Time after which a platform call without an answer is given up.
    pub call_bound: Duration,
    /// Time after which an attempt without an answer is given up.
    pub attempt_bound: Duration,
    /// Least time an order must have left when it is sent.
    pub dispatch_margin: Duration,
    /// How often an order is sent while every target says that it did not start it.
    pub dispatch_limit: u32,
    /// Orders that a process holds at once.
    pub order_limit: usize,
    /// Largest stored object, in bytes; below the platform's limit.
    pub document_bytes: usize,
    /// Largest result that is kept for repeats, in bytes.
    pub result_bytes: usize,
    /// Delay between failing platform calls.
    pub backoff: BackoffSettings,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(24 * 3600),
            clock_skew: Duration::from_secs(5),
            claim_wait: Duration::from_secs(2),
            outcome_wait: Duration::from_secs(1),
            poll_interval: Duration::from_millis(100),
            record_delay: Duration::from_millis(200),
            call_bound: Duration::from_secs(3),
            attempt_bound: Duration::from_secs(60),
            dispatch_margin: Duration::from_millis(5),
            dispatch_limit: 3,
            order_limit: 2048,
            document_bytes: 1_000_000,
            result_bytes: 2048,
            backoff: BackoffSettings {
                first: Duration::from_millis(50),
                ceiling: Duration::from_secs(2),
            },
        }
    }
}

/// Who this process is in its claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimIdentity {
    /// Node.
    pub node: NodeId,
    /// Start of the process.
    pub incarnation: Incarnation,
    /// Random text that no other process start has; tokens are made from it.
    pub process_token: Arc<str>,
}

impl ClaimIdentity {
    /// Claim number `sequence` of this process.
    pub fn claim(&self, sequence: u64) -> OrderClaim {
        OrderClaim {
            node: self.node.clone(),
            incarnation: self.incarnation,
            token: format!("{}-{sequence}", self.process_token).into(),
        }
    }

    /// Whether a claim was made by an earlier process of the same node, which is gone.
    pub fn outlived(&self, claim: &OrderClaim) -> bool {
        claim.node == self.node && claim.incarnation < self.incarnation
    }
}
