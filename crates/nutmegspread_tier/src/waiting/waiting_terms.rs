//! What decides when a waiting attempt is sent.

use std::time::{Duration, Instant};

/// Longest time that an attempt waits, as a fraction of the objective. Without this bound, gathers that
/// wait at all of their shards miss their objectives together: in a simulation of seven nodes at eight
/// times the usual load, sweeps over 20 shards earned 0.07 of their worth, and 0.24 with it.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// What decides when a waiting attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingTerms {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Time until which the attempt waits at most.
    pub wait_until: Instant,
    /// Time until which an answer has its full value.
    pub objective: Instant,
    /// Time after which an answer is of no use.
    pub end: Instant,
    /// Time that the target is expected to work on the attempt; 0 if there is no estimate.
    pub work: Duration,
}

impl WaitingTerms {
    /// The terms of an attempt that begins to wait at `now`, for a request that arrived at `arrived`.
    /// `time_limit` is the time from the arrival after which an answer is of no use. Without an estimate
    /// of the `work` the attempt waits to the end.
    pub fn new(
        now: Instant,
        priority: u32,
        arrived: Instant,
        objective: Duration,
        time_limit: Duration,
        work: Option<Duration>,
    ) -> Self {
        let end = arrived + time_limit;
        Self {
            priority,
            wait_until: work.map_or(end, |_| now + objective.mul_f64(MAX_WAIT_FRACTION)),
            objective: arrived + objective,
            end,
            work: work.unwrap_or_default(),
        }
    }

    /// The terms of an attempt that cannot be sent to another target: it waits to the end.
    pub fn without_alternative(self) -> Self {
        Self {
            wait_until: self.end,
            ..self
        }
    }

    /// Time from which the attempt does not wait any longer: it has waited too long, or would be
    /// answered too late to be of use.
    pub fn late_from(&self) -> Instant {
        let send_by = self.end.checked_sub(self.work).unwrap_or(self.end);
        self.wait_until.min(send_by)
    }

    /// Position among waiting attempts at `now`, the first one to be sent having the least.
    ///
    /// The order is by priority, then by the latest time at which the attempt has to be sent for an
    /// answer within the objective. Attempts that have missed this time follow behind all others, in
    /// the same order by the latest time for an answer of any use. If they came first within their
    /// priority, their late answers would make less urgent requests late, too.
    pub fn rank(&self, now: Instant) -> (bool, u32, Instant) {
        let has_missed = now + self.work > self.objective;
        let answer_by = if has_missed { self.end } else { self.objective };
        let send_by = answer_by.checked_sub(self.work).unwrap_or(answer_by);
        (has_missed, self.priority, send_by)
    }
}
