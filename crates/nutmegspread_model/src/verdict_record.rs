//! Verdicts of the monitoring group on targets and failure domains.

use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// Verdict of the monitoring group on a target or failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthVerdict {
    /// The target or failure domain works.
    #[default]
    Up,
    /// The target or failure domain is down and gets no new work.
    Down,
}

/// A verdict, as stored by the platform under the name of its subject.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VerdictRecord {
    /// What the verdict is about: the id of a target, or `domain/NAME` for a failure domain.
    pub subject: String,
    /// Whether the subject works or is down.
    pub verdict: HealthVerdict,
    /// Sequence number of the verdict, counted for each subject; a verdict never replaces one with
    /// a larger number.
    pub sequence: u64,
    /// When the monitoring group decided, by its clock, in milliseconds since the Unix epoch.
    #[serde(rename = "decided_at_ms", with = "crate::time_ms")]
    pub decided_at: SystemTime,
}
