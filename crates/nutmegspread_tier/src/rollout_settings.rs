//! Thresholds and times of the decisions on a rollout.

use std::time::Duration;

/// Thresholds from which a version counts as bad, and times at which traffic moves.
///
/// On each route, the new version is compared with the old one by two measures: the fraction of
/// failed attempts and the fraction of slow attempts. If the new version is no worse than the
/// margins allow, evidence of strength `s` on one measure of one route occurs by chance with a
/// probability of at most `exp(-s)`.
///
/// The finish time of a rollout is the time by which it must be completed or rolled back.
#[derive(Clone, Copy, Debug)]
pub struct RolloutSettings {
    /// Strength of evidence from which the new version counts as bad at any time. At a strength of
    /// 8, a false alarm has a probability of at most about 1 in 3,000 for each measure of each
    /// route, each time that it is evaluated.
    pub bad_strength: f64,
    /// Strength of evidence from which the new version counts as bad once all traffic is due to
    /// move to it. At a strength of 3, a false alarm has a probability of at most about 1 in 20 for
    /// each measure of each route, each time that it is evaluated.
    pub doubt_strength: f64,
    /// Amount by which the new version's fraction of failed attempts may exceed the old version's.
    pub failed_margin: f64,
    /// Amount by which the new version's fraction of slow attempts may exceed the old version's.
    pub slow_margin: f64,
    /// If at least this many attempts on the old version have been counted and the new one has served
    /// none, the new version counts as bad once all traffic is due to move to it. With fewer, it has
    /// until the time of `state_lead`.
    pub reach_floor: u64,
    /// Number of attempts on a new version that has served nothing under light traffic; see
    /// [`RolloutStage::Moving`](crate::RolloutStage::Moving).
    pub probe_attempts: u64,
    /// Fraction of [`RolloutOrder::finish_within`](crate::RolloutOrder::finish_within) after which the traffic may count as light, from 0
    /// to 1.
    pub probe_share: f64,
    /// How long before the finish time all traffic moves to the new version. Shortened in a short
    /// rollout; see `move_share`.
    pub move_lead: Duration,
    /// How long before the finish time the rollout is recorded as completed. This lead is shorter
    /// than `move_lead`, so that requests still running on the old version can end in between.
    pub state_lead: Duration,
    /// Largest fraction of [`RolloutOrder::finish_within`](crate::RolloutOrder::finish_within) that `move_lead` may take, from 0 to 1.
    /// In a rollout in which it would take more, `move_lead` and `state_lead` are both shortened,
    /// by the same factor.
    pub move_share: f64,
    /// Shortest time between two writes of a state to the store.
    pub write_pause: Duration,
    /// How long a rollout whose order a restored store does not hold goes on until the operator
    /// writes the order again.
    pub restore_hold: Duration,
    /// How long a rollout is remembered after its object was removed or got another order, which a
    /// restored store may undo.
    pub former_time: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            bad_strength: 8.0,
            doubt_strength: 3.0,
            failed_margin: 0.02,
            slow_margin: 0.1,
            reach_floor: 100,
            probe_attempts: 8,
            probe_share: 0.25,
            move_lead: Duration::from_secs(3),
            state_lead: Duration::from_secs(2),
            move_share: 0.3,
            write_pause: Duration::from_secs(1),
            restore_hold: Duration::from_secs(10),
            former_time: Duration::from_secs(120),
        }
    }
}
