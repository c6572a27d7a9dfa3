//! One planned move between target versions.

use crate::{ServiceName, VersionName};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A move of a service's traffic from one version to another within given times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version that serves before the move.
    pub from: VersionName,
    /// Version that serves after the move.
    pub to: VersionName,
    /// Earliest start, in milliseconds since the Unix epoch.
    #[serde(rename = "start_ms", with = "crate::time_ms")]
    pub start: SystemTime,
    /// Time by which the move is done or taken back, in milliseconds since the Unix epoch.
    #[serde(rename = "finish_by_ms", with = "crate::time_ms")]
    pub finish_by: SystemTime,
    /// Growing shares of traffic; the last one is 1.
    pub steps: Vec<RolloutStep>,
    /// Time for which the old version stays reachable after the last step, in milliseconds.
    #[serde(rename = "hold_ms", with = "crate::duration_ms")]
    pub hold: Duration,
}

/// One step of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutStep {
    /// Share of queries that the new version gets, 0 to 1.
    pub share: f64,
    /// Least time in the step, in milliseconds.
    #[serde(rename = "minimum_duration_ms", with = "crate::duration_ms")]
    pub minimum_duration: Duration,
    /// Queries of the new version that the step must have seen on every route with traffic.
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
