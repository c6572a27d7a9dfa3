//! How a node reaches the platform's service.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Address and bounds of the platform's object API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformAccess {
    /// IP address and port.
    pub address: String,
    /// Longest time of one call, in milliseconds.
    #[serde(rename = "call_timeout_ms", with = "nutmegspread_model::duration_ms")]
    pub call_timeout: Duration,
    /// Longest time without an event or bookmark on a watch, in milliseconds.
    #[serde(rename = "watch_silence_ms", with = "nutmegspread_model::duration_ms")]
    pub watch_silence: Duration,
}

impl Default for PlatformAccess {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:7000".into(),
            call_timeout: Duration::from_millis(1000),
            watch_silence: Duration::from_millis(3000),
        }
    }
}
