//! Faults that the platform stand-in can simulate.

use nutmegspread_model::duration_ms;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Faults that the stand-in simulates, also the body of `POST /standin/faults`.
///
/// The default simulates none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Answers every call with status 503 without executing it, and ends all open watches.
    pub down: bool,
    /// Accepts calls but neither executes nor answers them, and sends nothing on open watches.
    ///
    /// When this fault ends, the connections of these calls are closed without an answer.
    pub hang: bool,
    /// Delay of each call, in milliseconds: one half before it is executed, the other half after.
    #[serde(rename = "slow_ms", with = "duration_ms")]
    pub slow: Duration,
    /// Number of further writes that are executed but not answered; each of them reduces it by 1.
    pub lose_answers: u32,
    /// Keeps watches open but sends neither events nor bookmarks on them.
    pub silent_watches: bool,
    /// Answers reads with the objects as they were this many versions ago.
    pub stale_versions: u64,
}
