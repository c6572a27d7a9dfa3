//! Connections of this node to one target, and the attempts that wait for one.

use crate::traffic::open_request::OpenRequest;
use crate::traffic::target_attempt::TargetAttempt;
use crate::traffic::target_connection::TargetConnection;
use indexmap::IndexMap;
use nutmegspread_tier::{
    ConnectionAllowance, ConnectionChoice, FlightLimit, WaitingKey, WaitingQueue, WaitingTerms,
};
use std::rc::Rc;
use std::time::Instant;

/// Connections of this node to one target, and the attempts that wait for one.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    /// Idle connections, the most recently used one last.
    pub idle: Vec<Rc<TargetConnection>>,
    /// Number of connections that are open or being opened.
    pub connections: usize,
    /// Whether a task is waiting until another connection may be opened.
    pub is_open_scheduled: bool,
    /// Limit on the connections of this node to the target.
    pub allowance: ConnectionAllowance,
    /// Limit on the attempts of this node that are in flight at the target.
    pub flight: FlightLimit,
    /// Order of the waiting attempts.
    queue: WaitingQueue,
    /// Waiting attempts by their observation in the target's health.
    waiting: IndexMap<WaitingKey, Rc<TargetAttempt>>,
}

impl ConnectionPool {
    /// Whether another connection may be opened now.
    pub fn may_open(&self, now: Instant) -> bool {
        self.allowance.may_open(now, self.connections)
    }

    /// Whether another attempt may be in flight at the target, which has this many slots.
    pub fn may_send(&self, slots: u32) -> bool {
        let in_flight = self.connections.saturating_sub(self.idle.len());
        in_flight < self.flight.limit(slots)
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
        if !self.may_open(now)
            && let Some(connection) = self.idle.pop()
        {
            connection.close();
        }
    }

    /// Lets an attempt wait. Returns the attempt that has to give way if too many wait.
    pub fn push_waiting(
        &mut self,
        now: Instant,
        attempt: Rc<TargetAttempt>,
        terms: WaitingTerms,
    ) -> Option<Rc<TargetAttempt>> {
        let key = attempt.observation;
        self.waiting.insert(key, attempt);
        let evicted = self.queue.push(now, key, terms)?;
        self.waiting.shift_remove(&evicted)
    }

    /// Whether an attempt waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The waiting attempt that is to be sent next.
    pub fn next_waiting(&self, now: Instant) -> Option<Rc<TargetAttempt>> {
        let next = self.queue.next(now, |_| true)?;
        self.waiting.get(&next).cloned()
    }

    /// Takes the next waiting attempt that `connection` may carry.
    pub fn take_waiting(
        &mut self,
        connection: &TargetConnection,
        now: Instant,
    ) -> Option<Rc<TargetAttempt>> {
        let next = self.queue.next(now, |key| {
            self.waiting.get(&key).is_some_and(|attempt| {
                let connections = attempt.request.connections.borrow();
                connections.may_use(connection.key())
            })
        })?;
        self.take(next)
    }

    /// Takes out a waiting attempt that is sent.
    pub fn take(&mut self, key: WaitingKey) -> Option<Rc<TargetAttempt>> {
        self.queue.take(key);
        self.waiting.shift_remove(&key)
    }

    /// Takes the attempts that have waited too long or can no longer be answered in time.
    pub fn take_late(&mut self, now: Instant) -> Vec<Rc<TargetAttempt>> {
        let late = self.queue.take_late(now).into_iter();
        late.filter_map(|key| self.waiting.shift_remove(&key))
            .collect()
    }

    /// Removes an attempt that no longer waits; an unknown key is ignored.
    pub fn remove_waiting(&mut self, key: WaitingKey) {
        self.queue.remove(key);
        self.waiting.shift_remove(&key);
    }

    /// Takes all waiting attempts.
    pub fn take_all_waiting(&mut self) -> Vec<Rc<TargetAttempt>> {
        self.queue = WaitingQueue::default();
        std::mem::take(&mut self.waiting).into_values().collect()
    }
}
