//! What owners tell each other of a target's cold starts.

use nutmegspread_model::Incarnation;
use serde::{Deserialize, Serialize};

/// State of a target's latest known cold start; of two marks the greater one is the later.
///
/// Marks are merged by maximum, so that they may be repeated, delayed and reordered. Every owner
/// needs to hear them: one that does not lead sends nothing before it hears that the target is
/// warm.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WarmthMark {
    /// Count of returns to service.
    pub return_count: u64,
    /// Number of the target's process start; 0 before its first reply.
    pub incarnation: Incarnation,
    /// Cold starts without a new process.
    pub cold_count: u32,
    /// Whether the target has become warm since.
    pub warm: bool,
}
