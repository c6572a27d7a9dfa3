//! Which requests are counted for which tenant, and which node reports the counts when.

mod duty_action;
mod duty_settings;
mod duty_time;
mod report_duty;
mod report_permission;
mod request_count;
mod true_clock;
mod usage_ledger;
mod usage_merge;
mod usage_message;
mod usage_record;
mod usage_window;

pub use duty_action::{
    DutyAction, DutyEvent, DutyStanding, ReportOutcome, StoredUsage, WriteOutcome,
};
pub use duty_settings::DutySettings;
pub use duty_time::DutyTime;
pub use report_duty::ReportDuty;
pub use report_permission::ReportPermission;
pub use request_count::{AttemptNumber, CountChange, RequestCount};
pub use true_clock::TrueClock;
pub use usage_ledger::UsageLedger;
pub use usage_merge::UsageMerge;
pub use usage_message::{UsageAnswer, UsageMessage, UsageReceipt};
pub use usage_record::{FinalCounts, NodeRun, UsageCounts, UsageRecord, UsageReport};
pub use usage_window::{WindowNumber, WindowSchedule};
