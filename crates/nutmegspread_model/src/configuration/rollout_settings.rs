//! Settings of a rollout.

use crate::{ServiceName, VersionName};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A rollout: moves the traffic of a service in steps from one target version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Service whose traffic is moved.
    pub service: ServiceName,
    /// Version that serves the traffic before the rollout.
    pub from: VersionName,
    /// Version that serves the traffic after the rollout.
    pub to: VersionName,
    /// Earliest start of the rollout, in milliseconds since the Unix epoch.
    #[serde(rename = "start_ms", with = "crate::time_ms")]
    pub start: SystemTime,
    /// Time limit: a rollout that is not done by then is rolled back. In milliseconds since the
    /// Unix epoch.
    #[serde(rename = "finish_by_ms", with = "crate::time_ms")]
    pub finish_by: SystemTime,
    /// Steps, each with a larger share of the traffic than the one before; the last share is 1.
    pub steps: Vec<RolloutStep>,
    /// Time for which nodes keep the old version usable after the last step, in milliseconds.
    #[serde(rename = "hold_ms", with = "crate::duration_ms")]
    pub hold: Duration,
}

/// One step of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutStep {
    /// Share of the queries that the new version gets, above 0 and at most 1.
    pub share: f64,
    /// Minimum duration of the step, in milliseconds.
    #[serde(rename = "minimum_duration_ms", with = "crate::duration_ms")]
    pub minimum_duration: Duration,
    /// Minimum number of queries that the new version must have served during the step on every
    /// route with traffic.
    pub minimum_samples: u32,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            service: "".into(),
            from: "".into(),
            to: "".into(),
            start: UNIX_EPOCH,
            finish_by: UNIX_EPOCH,
            steps: Vec::new(),
            hold: Duration::from_secs(60),
        }
    }
}

impl Default for RolloutStep {
    fn default() -> Self {
        Self {
            share: 1.0,
            minimum_duration: Duration::from_secs(30),
            minimum_samples: 100,
        }
    }
}
