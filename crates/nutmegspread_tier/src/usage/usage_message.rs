//! Messages in which nodes state their counts.

use crate::TenantName;
use crate::usage::usage_record::NodeRun;
use crate::usage::usage_window::WindowNumber;
use serde::{Deserialize, Serialize};

/// Counts of one node, sent to the node that reports.
///
/// Each count is the whole one of its tenant and window so far, so that a message may arrive twice. A
/// message has the counts that changed after those of message `basis`; without a basis, the first one
/// of messages that state all counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageMessage {
    /// The node that has counted.
    pub sender: NodeRun,
    /// Number of the message among those of the sender.
    pub sequence: u64,
    /// Number of the last message that the receiver has confirmed; 0 if there is none.
    pub basis: u64,
    /// Counts by window and tenant.
    pub windows: Vec<(WindowNumber, Vec<(TenantName, u64)>)>,
}

impl UsageMessage {
    /// Number of counts.
    pub fn len(&self) -> usize {
        self.windows.iter().map(|(_, counts)| counts.len()).sum()
    }

    /// Whether the message has no counts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// What a receiver did with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageReceipt {
    /// The counts are taken.
    Taken,
    /// The receiver does not have the counts of the basis; it needs all counts.
    BasisUnknown,
    /// The receiver has no memory for the counts now.
    Full,
}

/// Answer to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageAnswer {
    /// What the receiver did with the message.
    pub receipt: UsageReceipt,
    /// Last finalized window that the receiver knows.
    pub finalized: Option<WindowNumber>,
}
