//! State of one target in the traffic thread.

use crate::traffic::open_request::OpenRequest;
use crate::traffic::target_attempt::{AttemptStage, TargetAttempt};
use crate::traffic::target_connection::TargetConnection;
use nutmegspread_tier::{
    ColdAllowance, ConnectionAllowance, ConnectionChoice, TargetHealth, TargetRecord, TargetWishes,
};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// State of one target in the traffic thread.
#[derive(Debug)]
pub struct TargetState {
    /// Registration of the target.
    pub record: Arc<TargetRecord>,
    /// Health of the target as this node observed it.
    pub health: TargetHealth,
    /// Idle connections, the most recently used one last.
    pub idle: Vec<Rc<TargetConnection>>,
    /// Number of connections that are open or being opened.
    pub connections: usize,
    /// Attempts that wait for a connection.
    pub waiting: VecDeque<Rc<TargetAttempt>>,
    /// Whether a task is waiting until another connection may be opened.
    pub is_open_scheduled: bool,
    /// Limit on the connections of this node to the target.
    pub allowance: ConnectionAllowance,
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

    /// Takes the most recently used idle connection that may carry an attempt of the request, so
    /// that the others become idle long enough to be closed.
    pub fn take_idle(
        &mut self,
        request: &OpenRequest,
        now: Instant,
    ) -> Option<Rc<TargetConnection>> {
        let connections = request.connections.borrow();
        for index in (0..self.idle.len()).rev() {
            match connections.choose(&self.idle[index].as_idle(now), request.repeat) {
                ConnectionChoice::Carry => return Some(self.idle.remove(index)),
                ConnectionChoice::Spare => {}
                ConnectionChoice::Close => self.idle.remove(index).close(),
            }
        }
        None
    }

    /// Closes an idle connection, none of which may carry an attempt that waits, if no other may be
    /// opened. The end of the connection opens one for the attempt.
    pub fn make_room(&mut self, now: Instant) {
        if !self.allowance.may_open(now, self.connections)
            && let Some(connection) = self.idle.pop()
        {
            connection.close();
        }
    }

    /// Takes the first waiting attempt that `connection` may carry.
    pub fn take_waiting(&mut self, connection: &TargetConnection) -> Option<Rc<TargetAttempt>> {
        self.waiting
            .retain(|attempt| attempt.stage.get() == AttemptStage::Waiting);
        let index = self.waiting.iter().position(|attempt| {
            let connections = attempt.request.connections.borrow();
            connections.may_use(connection.key())
        })?;
        self.waiting.remove(index)
    }
}
