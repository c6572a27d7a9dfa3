//! The fault switches.

use nutmegspread_model::duration_ms;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Faults in force; the default has none. Body of `POST /standin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Every call is answered 503 without effect, and open watches are cut.
    pub down: bool,
    /// Calls are accepted, have no effect and get no answer; they break off when this ends.
    pub hang: bool,
    /// Extra time of each call, in milliseconds: half before its effect and half after.
    #[serde(rename = "slow_ms", with = "duration_ms")]
    pub slow: Duration,
    /// Number of coming writes that take effect and whose answers are lost.
    pub lose_answers: u32,
    /// Watches stay open and carry neither events nor bookmarks.
    pub silent_watches: bool,
    /// Reads see the state this many versions ago.
    pub stale_versions: u64,
}
