//! Bounds and intervals that hold for every rollout.

use std::time::Duration;

/// Bounds and intervals that are not part of a rollout's own settings.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Largest expected difference between the clocks of two nodes.
    pub clock_error: Duration,
    /// Time before the limit by which the platform must have confirmed a finished rollout, so that
    /// the rollout can be declared done.
    pub done_margin: Duration,
    /// Delay between recording a rollout as finished and as done, in which brakes of other nodes
    /// can still arrive.
    pub confirm_delay: Duration,
    /// Share of the new version in the first step, 0 to 1, unless the settings begin with a smaller
    /// one.
    pub probe_share: f64,
    /// Share of queries that stay on the old version for comparison until the rollout is done, 0 to
    /// 1.
    pub control_share: f64,
    /// Age of a confirmation of the record above which the share of the new version no longer
    /// grows.
    pub fresh_for: Duration,
    /// Time after each write in which the writing node, the coordinator, holds the lease.
    pub lease: Duration,
    /// Delay between nodes of successive ranks when several may write the record.
    pub stagger: Duration,
    /// Interval of reads by the node of rank 0; nodes of higher rank read less often.
    pub read_interval: Duration,
    /// Longest interval of reads by any node.
    pub longest_read_interval: Duration,
    /// Time after which an unanswered write counts as lost.
    pub call_timeout: Duration,
    /// Interval at which the versions are compared.
    pub judge_interval: Duration,
    /// Fraction of a step's allotted time, 0 to 1, after which missing samples no longer delay the
    /// next step.
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
