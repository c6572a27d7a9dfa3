//! Choice of the target that gets an attempt.

use crate::{HealthSettings, RequestCost, TargetHealth, TargetKey};
use std::time::Instant;

/// A target that may get an attempt.
#[derive(Clone, Copy, Debug)]
pub struct TargetCandidate<'a> {
    /// Key of the target within the node.
    pub key: TargetKey,
    /// The node's own observations of the target.
    pub health: &'a TargetHealth,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target is in the node's own failure domain.
    pub is_near: bool,
    /// Whether the target is cold, that is, has started only a short time ago.
    pub is_cold: bool,
    /// Whether the target has said that it leaves.
    pub is_leaving: bool,
}

/// Returns the key of the candidate with the lowest cost for `request` (see [`TargetHealth::cost`]), or
/// `None` if there are no candidates.
///
/// The cost is the expected time until the answer: the work that is outstanding at the target, divided
/// by its slots, and the work of the request at the speed of the target.
///
/// `jitter` returns a small random number, which is added to the cost of a candidate. Without
/// jitter, all nodes would choose the same one of several targets with equal cost.
pub fn choose_target<'a>(
    settings: &HealthSettings,
    now: Instant,
    request: &RequestCost,
    candidates: impl Iterator<Item = TargetCandidate<'a>>,
    mut jitter: impl FnMut() -> f64,
) -> Option<TargetKey> {
    candidates
        .map(|candidate| {
            let TargetCandidate {
                key,
                health,
                slots,
                is_near,
                is_cold,
                is_leaving,
            } = candidate;
            let cost = health.cost(settings, now, request, slots, is_near, is_cold);
            let leaving_cost = if is_leaving {
                settings.leaving_cost
            } else {
                0.0
            };
            (cost + leaving_cost + jitter(), key)
        })
        .min_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, key)| key)
}
