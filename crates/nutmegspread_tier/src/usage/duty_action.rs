//! Inputs and outputs of the decisions about reports.

use crate::usage::usage_record::{NodeRun, UsageRecord, UsageReport};
use crate::usage::usage_window::WindowNumber;

/// What a node has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum DutyAction {
    /// Nothing now.
    Wait,
    /// Read the usage object.
    Read,
    /// Write the usage object: replace it if it has this revision, or create it if that is `None`.
    Write {
        /// Revision of the object that is replaced.
        revision: Option<u64>,
        /// New contents.
        record: UsageRecord,
    },
    /// Send a report, if [`ReportDuty::may_send`](crate::ReportDuty::may_send) still holds just
    /// before the first byte.
    Send(UsageReport),
}

/// What the membership says about a node.
#[derive(Clone, Copy, Debug, Default)]
pub struct DutyStanding {
    /// Whether the node is the first watcher of the store. Any other node begins neither a write nor a
    /// report, so that a report that the platform executes late is older than those of a successor.
    pub is_candidate: bool,
    /// Whether it does not hear most of the nodes that it heard lately.
    pub is_cut_off: bool,
}

/// The usage object as the store returned it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredUsage {
    /// Revision at which the object last changed.
    pub revision: u64,
    /// Its contents.
    pub record: UsageRecord,
}

/// Result of a write of the usage object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The store accepted the write and the object has this revision.
    Accepted(u64),
    /// The store rejected the write, or it is not known whether it was made.
    Unknown,
}

/// Result of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The platform has taken the report.
    Taken,
    /// It is not known whether the platform has taken the report, or it has rejected it.
    Unknown,
    /// The report was not sent, because the permission had ended.
    NotSent,
}

/// Change that is logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyEvent {
    /// This node has taken over.
    TakenOver {
        /// Its fencing token.
        fence: u64,
        /// The holder before; `None` if there was none.
        before: Option<NodeRun>,
    },
    /// Another node has taken over.
    Lost {
        /// The node.
        holder: NodeRun,
        /// Its fencing token.
        fence: u64,
    },
    /// Windows that were overdue by too much are not reported.
    Skipped {
        /// The first of them.
        first: WindowNumber,
        /// The last of them.
        last: WindowNumber,
    },
}
