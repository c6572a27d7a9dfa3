//! How much a target bears after a cold start.

use nutmegspread_model::{Incarnation, TargetLimits, TargetState};

/// Sheds in a row that count as a cold start.
const COLD_SHED_COUNT: u32 = 3;
/// Doublings of the allowance within the work that `warm_after` names, once that much is done.
const DOUBLINGS_PER_WARM_AFTER: u32 = 4;

/// Change of warmth that other nodes need to hear of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WarmthChange {
    /// The target is cold again.
    Cold(Incarnation),
    /// The target has become warm.
    Warm(Incarnation),
}

/// Cold-start state of one target.
///
/// The allowance stays at `cold_slots` until `warm_after` requests are complete and doubles from
/// there, so that a target whose limits state the truth never has more than it bears.
#[derive(Clone, Debug)]
pub(super) struct WarmthRamp {
    cold: bool,
    completed: u32,
    shed_run: u32,
    incarnation: Option<Incarnation>,
}

impl WarmthRamp {
    /// A target of which nothing is known counts as cold.
    pub(super) fn new() -> Self {
        Self {
            cold: true,
            completed: 0,
            shed_run: 0,
            incarnation: None,
        }
    }

    pub(super) fn is_cold(&self) -> bool {
        self.cold
    }

    /// Requests at a time that the target bears now.
    pub(super) fn allowance(&self, limits: &TargetLimits) -> u32 {
        let cold_slots = limits.cold_slots.max(1);
        if self.cold {
            return cold_slots;
        }
        let step = (limits.warm_after / DOUBLINGS_PER_WARM_AFTER).max(1);
        let doublings = 1 + self.completed.saturating_sub(limits.warm_after) / step;
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        cold_slots.saturating_mul(factor).min(limits.slots)
    }

    /// Starts over, for example after a return to service.
    pub(super) fn collapse(&mut self) {
        self.cold = true;
        self.completed = 0;
        self.shed_run = 0;
    }

    /// Takes in a whole reply.
    pub(super) fn replied(
        &mut self,
        limits: &TargetLimits,
        state: TargetState,
        incarnation: Incarnation,
    ) -> Option<WarmthChange> {
        if state == TargetState::Shed {
            self.learn(incarnation);
            return self.shed();
        }
        let restarted = self.incarnation.is_some_and(|known| known != incarnation);
        self.incarnation = Some(incarnation);
        self.shed_run = 0;
        if restarted || (state == TargetState::Cold && !self.cold) {
            return self.fall();
        }
        self.completed = self.completed.saturating_add(1);
        let done = self.completed >= limits.warm_after && state != TargetState::Cold;
        if self.cold && done {
            self.cold = false;
            return Some(WarmthChange::Warm(incarnation));
        }
        None
    }

    /// Takes in a refusal of the target for want of room.
    pub(super) fn shed(&mut self) -> Option<WarmthChange> {
        self.shed_run += 1;
        if self.shed_run < COLD_SHED_COUNT {
            return None;
        }
        self.fall()
    }

    /// Takes in another node's report of a cold start.
    pub(super) fn reported_cold(&mut self, incarnation: Incarnation) {
        if self.incarnation.is_none_or(|known| known <= incarnation) {
            self.incarnation = Some(incarnation);
            self.collapse();
        }
    }

    /// Takes in the leading owner's report that the target is warm.
    pub(super) fn reported_warm(&mut self, limits: &TargetLimits, incarnation: Incarnation) {
        if self.incarnation.is_none_or(|known| known <= incarnation) {
            self.incarnation = Some(incarnation);
            self.cold = false;
            self.completed = self.completed.max(limits.warm_after);
        }
    }

    fn learn(&mut self, incarnation: Incarnation) {
        if self.incarnation.is_none_or(|known| known < incarnation) {
            self.incarnation = Some(incarnation);
        }
    }

    fn fall(&mut self) -> Option<WarmthChange> {
        let was_cold = self.cold;
        self.collapse();
        let incarnation = self.incarnation?;
        (!was_cold).then_some(WarmthChange::Cold(incarnation))
    }
}
