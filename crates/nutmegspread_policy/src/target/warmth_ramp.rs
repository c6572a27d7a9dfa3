//! How many concurrent requests a target may get while it warms up after a cold start.

use super::WarmthMark;
use nutmegspread_model::{Incarnation, TargetLimits, TargetState};

/// Number of consecutively shed requests (rejected because of overload) after which the target
/// counts as cold again.
const COLD_SHED_COUNT: u32 = 3;
/// How often the allowance doubles per `warm_after` completed requests, once the target is warm.
const DOUBLINGS_PER_WARM_AFTER: u32 = 4;

/// Cold-start state of one target.
///
/// The allowance (maximum number of concurrent requests) stays at `cold_slots` until `warm_after`
/// requests have completed. It then doubles repeatedly, up to the target's `slots`. If the limits
/// are configured correctly, the target thus never gets more requests than it can handle.
#[derive(Clone, Debug, Default)]
pub(super) struct WarmthRamp {
    mark: WarmthMark,
    /// Requests completed since the latest cold start.
    completed: u32,
    /// Number of requests shed in a row, since the last reply of another kind.
    shed_run: u32,
}

impl WarmthRamp {
    pub(super) fn is_cold(&self) -> bool {
        !self.mark.warm
    }

    /// Number of concurrent requests, from all nodes together, that the target can handle now.
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

    /// Records a whole reply; returns the mark if it has changed and has to be sent to the other
    /// owners.
    pub(super) fn record_reply(
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
            self.restart_at(WarmthMark {
                incarnation,
                cold_count: 0,
                warm: false,
                ..self.mark
            });
        }
        match state {
            TargetState::Shed => self.record_shed().or(restarted.then_some(self.mark)),
            TargetState::Cold if !self.is_cold() => Some(self.become_cold()),
            TargetState::Cold => self.record_cold_reply(restarted),
            TargetState::Warm | TargetState::Draining => self.record_warm_reply(limits, restarted),
        }
    }

    /// Records that the target shed a request; returns the new mark if a warm target has thereby
    /// become cold.
    pub(super) fn record_shed(&mut self) -> Option<WarmthMark> {
        self.shed_run += 1;
        if self.shed_run < COLD_SHED_COUNT {
            return None;
        }
        if self.is_cold() {
            self.restart_at(self.mark);
            return None;
        }
        Some(self.become_cold())
    }

    /// Applies the target's return count; an increase makes the target cold.
    pub(super) fn apply_return_count(&mut self, return_count: u64) {
        if return_count > self.mark.return_count {
            self.restart_at(WarmthMark {
                return_count,
                cold_count: 0,
                warm: false,
                ..self.mark
            });
        }
    }

    /// Applies a mark from another owner if it is later than the current one.
    pub(super) fn merge_mark(&mut self, limits: &TargetLimits, mark: WarmthMark) {
        if mark <= self.mark {
            return;
        }
        self.restart_at(mark);
        if mark.warm {
            self.completed = limits.warm_after;
        }
    }

    fn record_cold_reply(&mut self, restarted: bool) -> Option<WarmthMark> {
        self.shed_run = 0;
        self.completed = self.completed.saturating_add(1);
        restarted.then_some(self.mark)
    }

    fn record_warm_reply(&mut self, limits: &TargetLimits, restarted: bool) -> Option<WarmthMark> {
        self.shed_run = 0;
        self.completed = self.completed.saturating_add(1);
        let warmed = self.is_cold() && self.completed >= limits.warm_after;
        self.mark.warm |= warmed;
        (warmed || restarted).then_some(self.mark)
    }

    fn become_cold(&mut self) -> WarmthMark {
        self.restart_at(WarmthMark {
            cold_count: self.mark.cold_count + 1,
            warm: false,
            ..self.mark
        });
        self.mark
    }

    /// Replaces the mark and starts the counts of completed and shed requests again.
    fn restart_at(&mut self, mark: WarmthMark) {
        self.mark = mark;
        self.completed = 0;
        self.shed_run = 0;
    }
}
