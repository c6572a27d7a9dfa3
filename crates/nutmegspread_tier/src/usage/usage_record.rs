//! The usage object of the store and the reports that are made from it.

use crate::usage::usage_window::WindowNumber;
use crate::{NodeName, TenantName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Number of requests by tenant.
pub type UsageCounts = IndexMap<TenantName, u64>;

/// One run of the process of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeRun {
    /// Name of the node.
    pub node: NodeName,
    /// Start time of the process in milliseconds since 1970.
    pub started_ms: u64,
}

/// Counts of a window that do not change any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalCounts {
    /// The window.
    pub window: WindowNumber,
    /// Number of requests of each tenant that had any, sorted by tenant.
    pub counts: UsageCounts,
}

/// Contents of the usage object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageRecord {
    /// The node that reports.
    pub holder: NodeRun,
    /// Fencing token, which grows with each change of the holder.
    pub fence: u64,
    /// Number of the write. It makes the contents of each write differ from all earlier ones, so that
    /// each gets a revision of its own.
    pub write: u64,
    /// The last finalized window; `None` if there is none yet.
    pub finalized: Option<FinalCounts>,
}

/// One report of a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Name of the node that sends the report.
    pub holder: NodeName,
    /// Fencing token of the node.
    pub fence: u64,
    /// The window and its counts.
    pub finalized: FinalCounts,
}
