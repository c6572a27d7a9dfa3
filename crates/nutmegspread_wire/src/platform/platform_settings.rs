//! Settings of the platform client.

use std::time::Duration;

/// Address and timeouts of the platform client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the platform's object API, as `IP:PORT`.
    pub address: String,
    /// Timeout of one call, from connecting to the last byte of the answer.
    pub call_timeout: Duration,
    /// Longest time that a watch may receive no event and no bookmark before it counts as broken.
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
