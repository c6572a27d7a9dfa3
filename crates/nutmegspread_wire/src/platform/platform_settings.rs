//! Settings of the platform client.

use std::time::Duration;

/// Where the platform is and how long to wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address as `IP:PORT`.
    pub address: String,
    /// Longest time for one call, from connecting to the last byte of the answer.
    pub call_timeout: Duration,
    /// Longest time a watch may stay without an event or bookmark.
    pub watch_silence: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:7700".into(),
            call_timeout: Duration::from_millis(1000),
            watch_silence: Duration::from_secs(3),
        }
    }
}
