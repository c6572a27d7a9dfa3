//! Bounds and intervals of rollouts.

use std::time::Duration;

/// Bounds and intervals that hold for every rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Largest difference between the clocks of two nodes.
    pub clock_error: Duration,
    /// Time before the limit after which a finished rollout can no longer be confirmed as done.
    pub done_margin: Duration,
    /// Time for brakes to arrive before a finished rollout is confirmed.
    pub confirm_delay: Duration,
    /// Largest share of a route's queries in the first step, 0 to 1.
    pub probe_share: f64,
    /// Share kept on the old version for comparison until the rollout is done, 0 to 1.
    pub control_share: f64,
    /// Age at which a confirmation of the record no longer lets anything grow.
    pub fresh_for: Duration,
    /// Lease of a coordinator after each write.
    pub lease: Duration,
    /// Head start of each node over the next one when a write is due.
    pub stagger: Duration,
    /// Interval of reads by the first node in order; later ones read less often.
    pub read_interval: Duration,
    /// Longest interval of reads.
    pub longest_read_interval: Duration,
    /// Time after which a call without an answer counts as lost.
    pub call_timeout: Duration,
    /// Interval at which evidence is judged.
    pub judge_interval: Duration,
    /// Part of the time left to a step after which missing samples no longer hold it up, 0 to 1.
    pub patience: f64,
}

impl Default for RolloutLimits {
    fn default() -> Self {
        Self {
            clock_error: Duration::from_millis(500),
            done_margin: Duration::from_secs(5),
            confirm_delay: Duration::from_secs(3),
            probe_share: 0.005,
            control_share: 0.02,
            fresh_for: Duration::from_secs(10),
            lease: Duration::from_secs(10),
            stagger: Duration::from_millis(500),
            read_interval: Duration::from_secs(1),
            longest_read_interval: Duration::from_secs(8),
            call_timeout: Duration::from_secs(2),
            judge_interval: Duration::from_millis(250),
            patience: 0.75,
        }
    }
}
