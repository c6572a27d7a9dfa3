//! What one node has seen of one target.

use nutmegspread_model::{Incarnation, MonotonicTime, SubFailure, TargetState};
use std::time::Duration;

/// Part of a new sample in the smoothed latency, as a divisor.
const SMOOTHING: u32 = 8;
/// Time for which a failure makes a target less wanted.
const FAILURE_KEPT_FOR: Duration = Duration::from_secs(1);
/// Time for which a full queue makes a target less wanted.
const FULL_KEPT_FOR: Duration = Duration::from_millis(20);
/// Time for which a target counts as cold after one of its owners turned work away for it.
const COLD_KEPT_FOR: Duration = Duration::from_millis(200);
/// Latency assumed of a target before the first reply.
const FIRST_LATENCY: Duration = Duration::from_millis(1);

/// Local evidence on a target; it shifts load and never declares a target down.
#[derive(Clone, Debug, Default)]
pub struct TargetObservation {
    /// Attempts sent and not ended.
    pub in_flight: u32,
    /// Smoothed latency; `None` before the first reply.
    pub latency: Option<Duration>,
    /// What the target said of itself last; `None` before the first reply.
    pub state: Option<TargetState>,
    /// Process start that replied last.
    pub incarnation: Incarnation,
    /// Count of returns under which the state was seen.
    pub return_count: u64,
    /// Until when a recent failure counts.
    pub failed_until: MonotonicTime,
    /// Until when the word of an owner that it is cold counts.
    pub cold_until: MonotonicTime,
}

impl TargetObservation {
    /// Whether the target may be in cold start: it shows it, or nothing is known of it.
    pub fn may_be_cold(&self, now: MonotonicTime, return_count: u64) -> bool {
        self.state.is_none() || self.is_cold(now, return_count)
    }

    /// Whether it said or showed that it is in cold start.
    pub fn is_cold(&self, now: MonotonicTime, return_count: u64) -> bool {
        let returned = self.state.is_some() && self.return_count != return_count;
        returned || self.state == Some(TargetState::Cold) || now < self.cold_until
    }

    /// Whether it failed a short time ago or says that it is finishing.
    pub fn is_suspect(&self, now: MonotonicTime) -> bool {
        now < self.failed_until || self.state == Some(TargetState::Draining)
    }

    /// Expected wait for one more attempt; lower is better.
    pub fn cost(&self) -> Duration {
        self.latency.unwrap_or(FIRST_LATENCY) * (self.in_flight + 1)
    }

    pub(super) fn started(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(super) fn add_latency(&mut self, sample: Duration) {
        self.latency = Some(match self.latency {
            None => sample,
            Some(known) => (known * (SMOOTHING - 1) + sample) / SMOOTHING,
        });
    }

    pub(super) fn replied(
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

    pub(super) fn failed(&mut self, now: MonotonicTime, failure: SubFailure) {
        match failure {
            SubFailure::Cold => self.cold_until = now + COLD_KEPT_FOR,
            SubFailure::QueueFull => self.failed_until = now + FULL_KEPT_FOR,
            SubFailure::SnapshotGone | SubFailure::Cancelled => {}
            _ => self.failed_until = now + FAILURE_KEPT_FOR,
        }
    }
}
