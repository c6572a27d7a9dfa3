//! What one node has observed of one target.

use nutmegspread_model::{Incarnation, MonotonicTime, SubFailure, TargetState};
use std::time::Duration;

/// A new sample has a weight of one divided by this number in the smoothed latency.
const SMOOTHING_DIVISOR: u32 = 8;
/// Time for which a target counts as suspect after a failure.
const SUSPECT_AFTER_FAILURE: Duration = Duration::from_secs(1);
/// Time for which a target counts as suspect after an owner's queue for it was full.
const SUSPECT_AFTER_QUEUE_FULL: Duration = Duration::from_millis(20);
/// Time for which a target counts as cold after one of its owners refused work because the target
/// was cold.
const COLD_AFTER_REFUSAL: Duration = Duration::from_millis(200);
/// Latency assumed for a target before its first latency sample.
const INITIAL_LATENCY: Duration = Duration::from_millis(1);

/// What this node has observed of a target. The choice of a replica depends on it: a target that is
/// suspect or cold is usually chosen only if the other candidate is no better. An observation never
/// marks a target as down; verdicts do that.
#[derive(Clone, Debug, Default)]
pub struct TargetObservation {
    /// Number of attempts that were sent and have not ended.
    pub in_flight: u32,
    /// Smoothed latency, including the time waited for attempts that were cancelled or got no
    /// answer; `None` before the first sample.
    pub latency: Option<Duration>,
    /// State in the target's last reply; `None` before the first reply.
    pub state: Option<TargetState>,
    /// Incarnation (number of the process start) in the target's last reply.
    pub incarnation: Incarnation,
    /// The target's return count at the time of its last reply. The count grows whenever the target
    /// returns to service after a drain or an outage, so a different count in the routing view
    /// means that the target has been out of service since that reply.
    pub return_count: u64,
    /// The target counts as suspect until this time, because of a failure.
    pub failed_until: MonotonicTime,
    /// The target counts as cold until this time, because an owner refused work for it as cold.
    pub cold_until: MonotonicTime,
}

impl TargetObservation {
    /// Whether the target is cold, or has not replied yet so that its state is unknown.
    pub fn may_be_cold(&self, now: MonotonicTime, return_count: u64) -> bool {
        self.state.is_none() || self.is_cold(now, return_count)
    }

    /// Whether the target is cold: its last reply reported so or came from a new incarnation, the
    /// target returned to service since that reply, or an owner refused work for it as cold within
    /// the last `COLD_AFTER_REFUSAL`.
    pub fn is_cold(&self, now: MonotonicTime, return_count: u64) -> bool {
        let returned = self.state.is_some() && self.return_count != return_count;
        returned || self.state == Some(TargetState::Cold) || now < self.cold_until
    }

    /// Whether the target is suspect: an attempt to it failed a short time ago, or its last reply
    /// reported that it is draining.
    pub fn is_suspect(&self, now: MonotonicTime) -> bool {
        now < self.failed_until || self.state == Some(TargetState::Draining)
    }

    /// Expected duration of one more attempt: the smoothed latency times the number of attempts in
    /// flight, including the new one.
    pub fn cost(&self) -> Duration {
        self.latency.unwrap_or(INITIAL_LATENCY) * (self.in_flight + 1)
    }

    pub(super) fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn record_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(super) fn add_latency(&mut self, sample: Duration) {
        self.latency = Some(match self.latency {
            None => sample,
            Some(known) => (known * (SMOOTHING_DIVISOR - 1) + sample) / SMOOTHING_DIVISOR,
        });
    }

    pub(super) fn record_reply(
        &mut self,
        state: TargetState,
        incarnation: Incarnation,
        return_count: u64,
    ) {
        let restarted = self.state.is_some() && self.incarnation != incarnation;
        self.state = Some(if restarted { TargetState::Cold } else { state });
        self.incarnation = incarnation;
        self.return_count = return_count;
        self.failed_until = MonotonicTime::ZERO;
    }

    pub(super) fn record_failure(&mut self, now: MonotonicTime, failure: SubFailure) {
        match failure {
            SubFailure::Cold => self.cold_until = now + COLD_AFTER_REFUSAL,
            SubFailure::QueueFull => self.failed_until = now + SUSPECT_AFTER_QUEUE_FULL,
            SubFailure::SnapshotGone | SubFailure::Cancelled => {}
            _ => self.failed_until = now + SUSPECT_AFTER_FAILURE,
        }
    }
}
