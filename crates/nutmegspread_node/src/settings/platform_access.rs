//! Settings for the node's calls to the platform.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Address of the platform's object API, and time limits for calls and watches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformAccess {
    /// IP address and port of the platform.
    pub address: String,
    /// Time limit for one call, in milliseconds.
    #[serde(rename = "call_timeout_ms", with = "nutmegspread_model::duration_ms")]
    pub call_timeout: Duration,
    /// Time without an event or bookmark after which a watch counts as unresponsive, in
    /// milliseconds.
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
