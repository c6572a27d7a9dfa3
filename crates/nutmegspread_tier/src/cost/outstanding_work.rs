//! Estimated work that a target still has to do.

use crate::RequestCost;
use std::time::Duration;

/// Upper bound on the own work at a target, as a multiple of the work of the request that is placed,
/// if there are fewer attempts than this. With it, a target that is busy with large requests is
/// better than one that fails or whose answers are overdue.
const LARGEST_LOAD: f64 = 10.0;

/// Estimated work that a target still has to do: that of this node's open attempts, and how much more
/// there must be from other nodes, as answers took longer than expected.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutstandingWork {
    /// Number of this node's open attempts.
    attempts: u32,
    /// Number of these whose work is not known.
    unknown: u32,
    /// Sum of the work of the others.
    known: Duration,
    /// Moving mean of the time by which answers exceed what is expected, in seconds.
    excess: f64,
}

impl OutstandingWork {
    /// Number of this node's open attempts.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Adds an attempt of this node.
    pub fn start(&mut self, cost: &RequestCost) {
        self.attempts += 1;
        match cost.work {
            Some(work) => self.known += work,
            None => self.unknown += 1,
        }
    }

    /// Removes an attempt that was added with the same `cost`.
    pub fn finish(&mut self, cost: &RequestCost) {
        self.attempts = self.attempts.saturating_sub(1);
        match cost.work {
            Some(work) => self.known = self.known.saturating_sub(work),
            None => self.unknown = self.unknown.saturating_sub(1),
        }
    }

    /// This node's work at the target as a multiple of the work of a request with `cost`, for each of
    /// the `slots` of the target.
    ///
    /// An attempt whose work is not known counts as much as this request; if the work of this request
    /// is not known, every attempt does.
    pub fn load(&self, cost: &RequestCost, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        let by_count = f64::from(self.attempts) / slots;
        let Some(own) = cost.work.filter(|work| !work.is_zero()) else {
            return by_count;
        };
        let known = self.known.as_secs_f64() / own.as_secs_f64();
        let load = (known + f64::from(self.unknown)) / slots;
        load.min(by_count.max(LARGEST_LOAD))
    }

    /// Lets the excess decay: the part `kept` of it is left.
    pub fn decay(&mut self, kept: f64) {
        self.excess *= kept;
    }

    /// Adds the excess of an answer over the expected latency, in seconds, with this weight.
    pub fn add_excess(&mut self, excess: f64, weight: f64) {
        self.excess += weight * (excess - self.excess);
    }

    /// The excess at a target as a multiple of the expected latency of a request with `cost`.
    ///
    /// `recent` is the excess as a multiple of the expected latency of the requests that met it, and
    /// `kept` the part of both that remains. A queue costs every request the same time, and a slow
    /// target every request the same factor; which of the two caused the excess is not known. The
    /// smaller of both effects is taken, and none if they contradict each other, so that the variance
    /// of large requests does not pass for a queue before small ones. If all requests are of one kind,
    /// both are equal.
    pub fn excess(&self, cost: &RequestCost, recent: f64, kept: f64) -> f64 {
        let recent = recent * kept;
        let latency = cost.latency.as_secs_f64().max(1e-4);
        let by_time = self.excess * kept / latency;
        if recent * by_time <= 0.0 {
            0.0
        } else if recent.abs() <= by_time.abs() {
            recent
        } else {
            by_time
        }
    }
}
