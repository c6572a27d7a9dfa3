//! State of one target in the traffic thread.

use crate::traffic::connection_pool::ConnectionPool;
use nutmegspread_tier::{ColdAllowance, TargetHealth, TargetRecord, TargetWishes};
use std::sync::Arc;
use std::time::Instant;

/// State of one target in the traffic thread.
#[derive(Debug)]
pub struct TargetState {
    /// Registration of the target.
    pub record: Arc<TargetRecord>,
    /// Health of the target as this node observed it.
    pub health: TargetHealth,
    /// Connections to the target, and attempts that wait for one.
    pub pool: ConnectionPool,
    /// Whether the target is in the newest view and not evacuated.
    pub is_usable: bool,
    /// Whether a different target has answered at this address.
    pub is_replaced: bool,
    /// Whether the target is in the node's own failure domain.
    pub is_near: bool,
    /// Time until which the target is cold.
    pub cold_until: Instant,
    /// Limit on the attempts of this node while the target is cold.
    pub cold: ColdAllowance,
    /// What the target asked in its answers.
    pub wishes: TargetWishes,
}

impl TargetState {
    /// Whether the target may get another attempt now.
    pub fn accepts(&self, now: Instant) -> bool {
        self.may_send(now) && !self.is_replaced && (!self.is_cold(now) || self.cold.allows(now))
    }

    /// Whether an attempt that was assigned to the target may still be sent to it now.
    pub fn may_send(&self, now: Instant) -> bool {
        self.is_usable && self.wishes.allows(now)
    }

    /// Earliest time from `now` on at which the target may take an attempt, apart from its limits;
    /// `None` if it takes none.
    pub fn next_allowed(&self, now: Instant) -> Option<Instant> {
        let is_sound = self.is_usable && !self.is_replaced;
        is_sound.then(|| self.wishes.next_allowed(now)).flatten()
    }

    /// Whether the target has just started and bears less than its limits.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Counts an attempt towards the limit, if the target is cold.
    pub fn count_attempt(&mut self, now: Instant) {
        if self.is_cold(now) {
            self.cold.count(now);
        }
    }
}
