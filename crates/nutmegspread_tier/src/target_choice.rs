//! Which target of a service gets a send.

use crate::{HealthSettings, TargetHealth, TargetKey};
use std::time::Instant;

/// A target that may get a send.
#[derive(Clone, Copy, Debug)]
pub struct TargetCandidate<'a> {
    /// Its key.
    pub key: TargetKey,
    /// What the node has seen of it.
    pub health: &'a TargetHealth,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is in the node's own failure domain.
    pub is_near: bool,
    /// Whether it counts as cold.
    pub is_cold: bool,
}

/// Chooses the candidate with the least expected cost.
///
/// `jitter` returns a small random cost for each candidate, which spreads equal choices; without
/// it all nodes would send to the same target first.
pub fn choose_target<'a>(
    settings: &HealthSettings,
    now: Instant,
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
            } = candidate;
            (
                health.cost(settings, now, slots, is_near, is_cold) + jitter(),
                key,
            )
        })
        .min_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, key)| key)
}
