//! The cold-start state of a target, as its owners report it to each other.

use nutmegspread_model::Incarnation;
use serde::{Deserialize, Serialize};

/// State of a target's latest known cold start. Of two marks, the greater one is the later one.
///
/// Owners merge marks by taking the greater one, so marks may be repeated, delayed or reordered.
/// Every owner has to receive them: all owners but the first send no requests until they receive a
/// mark that the target is warm.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WarmthMark {
    /// Count of the target's returns to service.
    pub return_count: u64,
    /// Number of the target's process start; 0 before the target's first reply.
    pub incarnation: Incarnation,
    /// Number of further cold starts since the process started or returned to service.
    pub cold_count: u32,
    /// Whether the target has become warm since its latest cold start.
    pub warm: bool,
}
