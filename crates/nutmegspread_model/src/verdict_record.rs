//! Verdicts of the monitoring group on targets and failure domains.

use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// What the monitoring group says of a target or failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthVerdict {
    /// It serves.
    #[default]
    Up,
    /// It is down and gets no new work.
    Down,
}

/// One verdict, as stored in the platform under the name of its subject.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VerdictRecord {
    /// Target id, or `domain/NAME` for a whole failure domain.
    pub subject: String,
    /// The verdict.
    pub verdict: HealthVerdict,
    /// Count of verdicts on this subject; an older sequence never replaces a newer one.
    pub sequence: u64,
    /// When the monitoring group decided, by its clock, in milliseconds since the Unix epoch.
    #[serde(rename = "decided_at_ms", with = "crate::time_ms")]
    pub decided_at: SystemTime,
}
