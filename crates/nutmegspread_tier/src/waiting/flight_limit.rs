//! Limit on the attempts that one node has in flight at one target.

use std::time::Duration;

/// Time that answers wait at the target beyond which the node sends less, as a multiple of the mean
/// work of its attempts there.
const USUAL_WAIT: f64 = 2.0;
/// Weight of an answer in the moving means.
const WEIGHT: f64 = 0.1;

/// Limit on the attempts that one node has in flight at one target: the number of its slots, and less
/// if answers wait there, as other nodes have attempts in flight, too.
///
/// Attempts beyond the limit wait at the node, where the most urgent one goes first; the queue of a
/// target is in order of arrival. The limit is never below 1, so that nodes that share a target cannot
/// bound its queue below their number. Delay as the sign of a queue: L. Brakmo and L. Peterson, "TCP
/// Vegas", 1995.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlightLimit {
    /// Moving mean of the expected work in seconds.
    work: f64,
    /// Moving mean of the time by which answers exceeded it.
    wait: f64,
}

impl FlightLimit {
    /// Largest number of attempts in flight at a target with this many slots; there is no limit while
    /// no estimate of the work is known.
    pub fn limit(&self, slots: u32) -> usize {
        if self.work == 0.0 {
            return usize::MAX;
        }
        let slots = f64::from(slots.max(1));
        let usual = USUAL_WAIT * self.work;
        let part = if self.wait > usual {
            usual / self.wait
        } else {
            1.0
        };
        (slots * part).max(1.0) as usize
    }

    /// Records an answer `taken` after the sending of its attempt, which was expected to be work for
    /// `work`.
    pub fn record_answer(&mut self, work: Duration, taken: Duration) {
        let work = work.as_secs_f64();
        let wait = (taken.as_secs_f64() - work).max(0.0);
        self.work += WEIGHT * (work - self.work);
        self.wait += WEIGHT * (wait - self.wait);
    }
}
