//! Settings of the reports of usage.

use nutmegspread_tier::{DutySettings, WindowSchedule};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest time in a setting, in seconds.
const MAX_TIME_S: f64 = 86_400.0;

/// Settings of the reports of usage to the platform.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UsageSettings {
    /// Address of the platform for reports.
    pub address: SocketAddr,
    /// Calls per second that the platform accepts of all nodes together.
    #[serde(default = "default_calls_per_s")]
    pub calls_per_s: f64,
    /// Length of a window in seconds.
    #[serde(default = "default_window_s")]
    pub window_s: f64,
    /// Time in seconds after the end of a window at which its report is due.
    #[serde(default = "default_late_s")]
    pub late_s: f64,
    /// Time in milliseconds within which nodes that report may not follow each other and back.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: f64,
}

fn default_calls_per_s() -> f64 {
    DutySettings::default().calls_per_s
}

fn default_window_s() -> f64 {
    WindowSchedule::default().length.as_secs_f64()
}

fn default_late_s() -> f64 {
    WindowSchedule::default().late.as_secs_f64()
}

fn default_lease_ms() -> f64 {
    DutySettings::default().lease.as_secs_f64() * 1000.0
}

impl UsageSettings {
    /// Names and values of the fields that have to be above 0.
    pub fn positive_fields(&self) -> [(&'static str, f64); 4] {
        [
            ("usage.calls_per_s", self.calls_per_s),
            ("usage.window_s", self.window_s),
            ("usage.late_s", self.late_s),
            ("usage.lease_ms", self.lease_ms),
        ]
    }

    /// Times of the reports.
    pub fn duty(&self) -> DutySettings {
        DutySettings {
            schedule: WindowSchedule {
                length: seconds(self.window_s),
                late: seconds(self.late_s),
            },
            lease: seconds(self.lease_ms / 1000.0),
            calls_per_s: self.calls_per_s,
        }
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.min(MAX_TIME_S)).max(Duration::from_millis(1))
}
