//! Settings of a journal partition, and the identity of a process in its claims.

use super::OrderClaim;
use crate::platform::BackoffSettings;
use nutmegspread_model::{Incarnation, NodeId};
use std::sync::Arc;
use std::time::Duration;

/// Limits and delays of one partition of the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalSettings {
    /// How long after its issue a key may still be claimed; older keys are refused.
    pub retention: Duration,
    /// Largest difference assumed between the wall clocks of any two callers or nodes.
    pub clock_skew: Duration,
    /// Longest time that a submission waits for its order to be claimed and sent.
    pub claim_wait: Duration,
    /// Longest time to wait for the outcome of an order that another process has claimed.
    pub outcome_wait: Duration,
    /// Interval between reads of the document during an [`Self::outcome_wait`].
    pub poll_interval: Duration,
    /// Longest time that an outcome waits to be recorded with the changes of other orders, before
    /// it causes a write of its own.
    pub record_delay: Duration,
    /// Time after which a platform call without an answer counts as failed.
    pub call_timeout: Duration,
    /// Time after which the outcome of an attempt without an answer counts as unknown.
    pub attempt_timeout: Duration,
    /// Minimum time that must remain until the caller's deadline when an order is sent.
    pub dispatch_margin: Duration,
    /// Number of attempts after which an order that no target has started is refused.
    pub dispatch_limit: u32,
    /// Largest number of orders of one partition that a process handles at once.
    pub order_limit: usize,
    /// Largest stored object, in bytes; must be below the platform's maximum size of an object.
    pub document_bytes: usize,
    /// Largest result that is stored for repeated submissions, in bytes.
    pub result_bytes: usize,
    /// Delay after a failed platform call.
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
            call_timeout: Duration::from_secs(3),
            attempt_timeout: Duration::from_secs(60),
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

/// Identity of this process, from which its claims are made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimIdentity {
    /// Node that the process runs.
    pub node: NodeId,
    /// Incarnation of the process: a number that increases with each start of the node.
    pub incarnation: Incarnation,
    /// Random text that is unique to this incarnation; the prefix of all tokens of its claims and
    /// writes.
    pub process_token: Arc<str>,
}

impl ClaimIdentity {
    /// Makes the claim with number `sequence` of this process; no two claims of one partition may
    /// have the same number.
    pub fn claim(&self, sequence: u64) -> OrderClaim {
        OrderClaim {
            node: self.node.clone(),
            incarnation: self.incarnation,
            token: format!("{}-{sequence}", self.process_token).into(),
        }
    }

    /// Whether `claim` was made by an earlier process of the same node, which no longer runs.
    pub fn is_from_earlier_process(&self, claim: &OrderClaim) -> bool {
        claim.node == self.node && claim.incarnation < self.incarnation
    }
}
