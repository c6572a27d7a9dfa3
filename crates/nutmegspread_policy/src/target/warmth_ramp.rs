//! How much a target bears after a cold start.

use super::WarmthMark;
use nutmegspread_model::{Incarnation, TargetLimits, TargetState};

/// Sheds in a row that count as a cold start.
const COLD_SHED_COUNT: u32 = 3;
/// Doublings of the allowance in each further `warm_after` completed requests.
const DOUBLINGS_PER_WARM_AFTER: u32 = 4;

/// Cold-start state of one target.
///
/// The allowance stays at `cold_slots` until `warm_after` requests are complete and doubles from
/// there, so that a target whose limits are stated truly never has more than it bears.
#[derive(Clone, Debug, Default)]
pub(super) struct WarmthRamp {
    mark: WarmthMark,
    completed: u32,
    shed_run: u32,
}

impl WarmthRamp {
    pub(super) fn is_cold(&self) -> bool {
        !self.mark.warm
    }

    /// Requests at a time that the target bears now, over all nodes.
    pub(super) fn allowance(&self, limits: &TargetLimits) -> u32 {
        let cold_slots = limits.cold_slots.max(1);
        if self.is_cold() {
            return cold_slots;
        }
        let step = (limits.warm_after / DOUBLINGS_PER_WARM_AFTER).max(1);
        let doublings = 1 + self.completed.saturating_sub(limits.warm_after) / step;
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        cold_slots.saturating_mul(factor).min(limits.slots)
    }

    /// Takes in a whole reply; returns a mark that the other owners need to hear.
    pub(super) fn replied(
        &mut self,
        limits: &TargetLimits,
        state: TargetState,
        incarnation: Incarnation,
    ) -> Option<WarmthMark> {
        if incarnation < self.mark.incarnation {
            return None;
        }
        let restarted = incarnation > self.mark.incarnation;
        if restarted {
            self.start_over(WarmthMark {
                incarnation,
                cold_count: 0,
                warm: false,
                ..self.mark
            });
        }
        match state {
            TargetState::Shed => self.shed().or(restarted.then_some(self.mark)),
            TargetState::Cold if !self.is_cold() => Some(self.fall()),
            TargetState::Cold => self.completed_cold(restarted),
            TargetState::Warm | TargetState::Draining => self.completed_warm(limits, restarted),
        }
    }

    /// Takes in a refusal of the target for want of room.
    pub(super) fn shed(&mut self) -> Option<WarmthMark> {
        self.shed_run += 1;
        if self.shed_run < COLD_SHED_COUNT {
            return None;
        }
        if self.is_cold() {
            self.start_over(self.mark);
            return None;
        }
        Some(self.fall())
    }

    /// Takes in the count of returns to service; a higher one means a cold start.
    pub(super) fn returned(&mut self, return_count: u64) {
        if return_count > self.mark.return_count {
            self.start_over(WarmthMark {
                return_count,
                cold_count: 0,
                warm: false,
                ..self.mark
            });
        }
    }

    /// Takes in what another owner reports.
    pub(super) fn reported(&mut self, limits: &TargetLimits, mark: WarmthMark) {
        if mark <= self.mark {
            return;
        }
        self.start_over(mark);
        if mark.warm {
            self.completed = limits.warm_after;
        }
    }

    fn completed_cold(&mut self, restarted: bool) -> Option<WarmthMark> {
        self.shed_run = 0;
        self.completed = self.completed.saturating_add(1);
        restarted.then_some(self.mark)
    }

    fn completed_warm(&mut self, limits: &TargetLimits, restarted: bool) -> Option<WarmthMark> {
        self.shed_run = 0;
        self.completed = self.completed.saturating_add(1);
        let warmed = self.is_cold() && self.completed >= limits.warm_after;
        self.mark.warm |= warmed;
        (warmed || restarted).then_some(self.mark)
    }

    fn fall(&mut self) -> WarmthMark {
        self.start_over(WarmthMark {
            cold_count: self.mark.cold_count + 1,
            warm: false,
            ..self.mark
        });
        self.mark
    }

    fn start_over(&mut self, mark: WarmthMark) {
        self.mark = mark;
        self.completed = 0;
        self.shed_run = 0;
    }
}
