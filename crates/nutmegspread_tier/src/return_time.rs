//! When callers whose requests are refused should return.

use crate::room::{PRIORITY_RANKS, priority_rank};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time over which the callers of one priority are spread.
const PRIORITY_SPREAD: Duration = Duration::from_millis(100);
/// Number of priorities that return one after the other; less urgent ones return with the last.
const PRIORITIES: u32 = 4;

/// Length of a slot. Callers of one slot return evenly over it.
const SLOT_TIME: Duration = Duration::from_millis(50);
/// First slot that callers get: one that begins at least [`ReturnSchedule::SOONEST`] later.
const FIRST_SLOT: usize = 2;
/// Number of slots, which bounds the memory; later returns go into the last slot.
const SLOTS: usize = 80;
/// Fraction of the room expected in a slot that is given to returning callers; the rest is for
/// callers that come for the first time.
const RETURN_FRACTION: f64 = 0.25;
/// Fraction of the time that a caller has left within which it honours a return time.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;

/// Returns after what time a refused caller should return, if a target can take its request after
/// `wait`. Callers return spread over time, the most urgent first; `random` is from 0 to 1.
pub fn return_time(wait: Duration, priority: u32, random: f64) -> Duration {
    let rank = priority.min(PRIORITIES - 1);
    wait + PRIORITY_SPREAD * rank + PRIORITY_SPREAD.mul_f64(random.clamp(0.0, 1.0))
}

/// Slots in the room that a node expects, for the callers that it refuses.
///
/// Each priority has slots of its own, as many as its share of the budget has room for, so that urgent
/// callers return first; within a priority callers get slots in the order of refusal. A caller that
/// returns cannot be told from others; as many callers of a priority as were told to return in a slot
/// go before newcomers in this slot and the next one. A caller that repeats its request at once comes
/// before its slot.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    /// Start of the first slot; `None` before the first refusal.
    start: Option<Instant>,
    /// Number of callers that are expected in each slot and have not come yet, by rank of the
    /// priority.
    slots: VecDeque<[u32; PRIORITY_RANKS]>,
    /// Callers of the slot before the first one that have not come.
    late: [u32; PRIORITY_RANKS],
    /// Number of callers of each rank that were told in the first slot to return later than they wait.
    beyond: [u32; PRIORITY_RANKS],
    /// Number of callers of each rank that may return in a slot, as expected at the last refusal.
    room: [f64; PRIORITY_RANKS],
    /// Number of callers of each rank that may return now; part of what earlier slots left is kept.
    credit: [f64; PRIORITY_RANKS],
}

impl ReturnSchedule {
    /// Shortest time until a caller is told to return.
    pub const SOONEST: Duration = SLOT_TIME;

    /// Returns after what time a caller with this priority should return. It has `time_left`, and
    /// `per_second` requests of its rank are expected to be admitted.
    ///
    /// The time is the one at which there is room, also if it is later than the caller honours; the
    /// caller is then not expected.
    pub fn plan(
        &mut self,
        now: Instant,
        priority: u32,
        time_left: Duration,
        per_second: f64,
    ) -> Duration {
        self.advance(now);
        let rank = priority_rank(priority);
        let latest = time_left.mul_f64(HONOURED_FRACTION);
        let start = *self.start.get_or_insert(now);
        let offset = now.saturating_duration_since(start);
        let room = per_second * SLOT_TIME.as_secs_f64() * RETURN_FRACTION;
        self.room[rank] = room;
        // The room of a slot is rarely a whole number of callers, so the room of all slots up to one
        // is compared with the callers in them.
        let mut callers = 0;
        let free = (FIRST_SLOT..SLOTS).find(|index| {
            callers += self.slots.get(*index).map_or(0, |slot| slot[rank]);
            f64::from(callers) + 1.0 <= (*index - FIRST_SLOT + 1) as f64 * room
        });
        let index = free.unwrap_or(SLOTS);
        let callers = self.slots.get(index).map_or(0, |slot| slot[rank]);
        let place = f64::from(callers) / room.max(1.0);
        let at = SLOT_TIME * index as u32 + SLOT_TIME.mul_f64(place.min(1.0));
        let retry_after = at.saturating_sub(offset);
        if retry_after > latest {
            // The caller does not wait that long. Those that come nevertheless are spread, too.
            let behind = f64::from(self.beyond[rank]) / room.max(0.01);
            self.beyond[rank] += 1;
            return (retry_after + SLOT_TIME.mul_f64(behind)).min(SLOT_TIME * SLOTS as u32);
        }
        if self.slots.len() <= index {
            self.slots.resize(index + 1, [0; PRIORITY_RANKS]);
        }
        self.slots[index][rank] += 1;
        retry_after
    }

    /// Whether a caller with this priority that arrives at `now` goes before newcomers, as callers
    /// were told to return now. Counts the caller as returned.
    pub fn take_return(&mut self, now: Instant, priority: u32) -> bool {
        self.advance(now);
        let rank = priority_rank(priority);
        if self.credit[rank] < 1.0 {
            return false;
        }
        let expected = match self.slots.front_mut() {
            Some(slot) if slot[rank] > 0 => &mut slot[rank],
            _ => &mut self.late[rank],
        };
        let is_expected = *expected > 0;
        *expected = expected.saturating_sub(1);
        self.credit[rank] -= f64::from(u8::from(is_expected));
        is_expected
    }

    /// Number of callers that are expected to return.
    pub fn expected(&self) -> u32 {
        self.slots.iter().flatten().sum()
    }

    /// Drops the slots that have ended.
    fn advance(&mut self, now: Instant) {
        let Some(start) = self.start else {
            return;
        };
        let ended = slot_index(now.saturating_duration_since(start));
        if ended == 0 {
            return;
        }
        let dropped = self.slots.drain(..ended.min(self.slots.len()));
        let last = dropped.enumerate().find(|(index, _)| index + 1 == ended);
        self.late = last.map_or([0; PRIORITY_RANKS], |(_, slot)| slot);
        self.beyond = [0; PRIORITY_RANKS];
        for (credit, room) in self.credit.iter_mut().zip(self.room) {
            *credit = (*credit + room * ended as f64).min(room.max(1.0) * 2.0);
        }
        self.start = Some(start + SLOT_TIME * ended as u32);
    }
}

/// Index of the slot at this time from the start of the first one.
fn slot_index(offset: Duration) -> usize {
    (offset.as_nanos() / SLOT_TIME.as_nanos()) as usize
}
