//! The mark by which the owners of a target report to each other whether it is cold or warm.

use nutmegspread_model::Incarnation;
use serde::{Deserialize, Serialize};

/// State of a target's latest known cold start. A target is cold when it has just started or
/// returned to service, and then bears less than its limits until it is warm.
///
/// Of two marks, the greater one is the later one. Owners merge marks by taking the greater one, so
/// marks may be repeated, delayed or reordered. Every owner has to receive them: only the first
/// owner sends requests to a cold target, and the others wait for the mark that the target is warm.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WarmthMark {
    /// Number that grows whenever the target returns to service after a drain or an outage.
    pub return_count: u64,
    /// Incarnation (number of the process start) of the target; 0 before its first reply.
    pub incarnation: Incarnation,
    /// Number of times that the target became cold again since this incarnation started or returned
    /// to service.
    pub cold_count: u32,
    /// Whether the target has become warm since its latest cold start.
    pub warm: bool,
}
