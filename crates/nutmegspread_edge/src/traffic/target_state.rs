//! One target as the traffic thread uses it.

use crate::traffic::send_job::SendJob;
use crate::traffic::target_connection::TargetConnection;
use nutmegspread_tier::{ColdAllowance, ConnectionAllowance, TargetHealth, TargetRecord};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// One target as the traffic thread uses it.
#[derive(Debug)]
pub struct TargetState {
    /// Its registration.
    pub record: Arc<TargetRecord>,
    /// Own observations.
    pub health: TargetHealth,
    /// Open connections without a request, the most recently used last.
    pub idle: Vec<Rc<TargetConnection>>,
    /// Connections that are open or being opened.
    pub connections: usize,
    /// Sends that wait for a connection.
    pub waiting: VecDeque<Rc<SendJob>>,
    /// Whether a look at the sends that wait is due.
    pub opens_later: bool,
    /// Connections that this node may have.
    pub allowance: ConnectionAllowance,
    /// Whether the newest view names it and allows requests to it.
    pub is_usable: bool,
    /// Set when another target answered at its address.
    pub is_replaced: bool,
    /// Whether it is in the node's own failure domain.
    pub is_near: bool,
    /// Until when it counts as cold.
    pub cold_until: Instant,
    /// What it bears from this node while it is cold.
    pub cold: ColdAllowance,
}

impl TargetState {
    /// Whether the target may get another request by now.
    pub fn accepts(&self, now: Instant) -> bool {
        self.is_usable && !self.is_replaced && (!self.is_cold(now) || self.cold.allows(now))
    }

    /// Whether the target counts as cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Counts a send towards the limit of a cold target.
    pub fn count_send(&mut self, now: Instant) {
        if self.is_cold(now) {
            self.cold.count(now);
        }
    }
}
