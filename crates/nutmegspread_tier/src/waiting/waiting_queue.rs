//! Attempts that wait for one target.

use crate::WaitingTerms;
use indexmap::IndexMap;
use std::time::Instant;

/// Identifies a waiting attempt among those of one target.
pub type WaitingKey = u64;

/// Largest number of attempts that wait for one target, which bounds the time to find the next one. A
/// target with two slots works on this many attempts of 11 ms for 1.4 s.
const MAX_WAITING: usize = 256;
/// One of this many sends goes to the attempt that has waited longest, whatever its priority, so that
/// less urgent attempts do not starve.
const LONGEST_WAITING_EVERY: u32 = 8;

/// Attempts that wait for one target, the most urgent first.
///
/// The order is that of [`WaitingTerms::rank`]: within a priority the least time left against the
/// estimated work first (least laxity; A. K. Mok, "Fundamental Design Problems of Distributed Systems
/// for the Hard Real-Time Environment", 1983). Under overload this order alone serves each attempt just
/// too late, so attempts behind their objective come last, and those that wait too long are taken out.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    /// Waiting attempts in the order of arrival.
    waiting: IndexMap<WaitingKey, WaitingTerms>,
    /// Number of sends out of a queue of several attempts.
    contested_sends: u32,
}

impl WaitingQueue {
    /// Adds an attempt. Returns the key of the attempt that has to give way if there are too many: the
    /// least urgent one, which may be the new one.
    pub fn push(
        &mut self,
        now: Instant,
        key: WaitingKey,
        terms: WaitingTerms,
    ) -> Option<WaitingKey> {
        self.waiting.insert(key, terms);
        if self.waiting.len() <= MAX_WAITING {
            return None;
        }
        let ranked = self.waiting.iter();
        let (last, _) = ranked.max_by_key(|(_, terms)| terms.rank(now))?;
        let last = *last;
        self.remove(last);
        Some(last)
    }

    /// Returns the next attempt among those that `may_send` accepts; `None` if there is none.
    pub fn next(&self, now: Instant, may_send: impl Fn(WaitingKey) -> bool) -> Option<WaitingKey> {
        let mut allowed = self.waiting.iter().filter(|(key, _)| may_send(**key));
        let is_turn_of_longest =
            self.is_contested() && (self.contested_sends + 1).is_multiple_of(LONGEST_WAITING_EVERY);
        let (next, _) = if is_turn_of_longest {
            allowed.next()?
        } else {
            allowed.min_by_key(|(_, terms)| terms.rank(now))?
        };
        Some(*next)
    }

    /// Takes out an attempt that is sent.
    pub fn take(&mut self, key: WaitingKey) {
        if self.is_contested() {
            self.contested_sends = self.contested_sends.wrapping_add(1);
        }
        self.remove(key);
    }

    /// Takes out the attempts that have waited too long or can no longer be answered in time.
    pub fn take_late(&mut self, now: Instant) -> Vec<WaitingKey> {
        let waiting = self.waiting.iter();
        let late = waiting.filter(|(_, terms)| now >= terms.late_from());
        let late: Vec<WaitingKey> = late.map(|(key, _)| *key).collect();
        for key in &late {
            self.remove(*key);
        }
        late
    }

    /// Removes an attempt that no longer waits; an unknown key is ignored.
    pub fn remove(&mut self, key: WaitingKey) {
        self.waiting.shift_remove(&key);
    }

    /// Whether no attempt waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of waiting attempts.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a send has to choose between attempts.
    fn is_contested(&self) -> bool {
        self.waiting.len() > 1
    }
}
