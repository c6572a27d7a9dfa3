//! Bounds and intervals that hold for every rollout.

use std::time::Duration;

/// Bounds and intervals that are not part of a rollout's own settings.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Largest expected difference between the clocks of two nodes.
    pub clock_error: Duration,
    /// Minimum time between the platform's confirmation that the rollout is finished and the
    /// rollout's time limit (`finish_by`); with less time, the rollout can't be declared done.
    pub done_margin: Duration,
    /// Minimum delay between recording a rollout as finished and recording it as done, in which
    /// brakes set by other nodes can still arrive.
    pub confirm_delay: Duration,
    /// Fraction of queries that the new version gets in the first step, 0 to 1, unless the settings
    /// of the rollout begin with a smaller fraction.
    pub probe_share: f64,
    /// Fraction of queries that stay on the old version for comparison until the rollout is done, 0
    /// to 1.
    pub control_share: f64,
    /// Maximum age of the platform's last confirmation of the record. With an older one, the
    /// rollout neither starts nor advances.
    pub fresh_for: Duration,
    /// Time for which the node that wrote the record (its coordinator) holds the lease, counted
    /// from its last write. Meanwhile other nodes write the record only to roll back.
    pub lease: Duration,
    /// Delay of a write, times the rank of the node: its position, from 0, in the order in which
    /// nodes may write the record. The holder of the lease writes without this delay.
    pub stagger: Duration,
    /// Interval of reads of the record by the node of rank 0; nodes of higher rank read less often.
    pub read_interval: Duration,
    /// Longest interval at which any node reads the record.
    pub longest_read_interval: Duration,
    /// Time after which an unanswered write counts as lost.
    pub call_timeout: Duration,
    /// Interval at which the versions are compared.
    pub judge_interval: Duration,
    /// Missing samples delay the next step for at most this fraction of the step's allotted time, 0
    /// to 1.
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
