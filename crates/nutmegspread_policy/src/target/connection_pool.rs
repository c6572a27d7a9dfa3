//! The connections of one node to one target, owned one by one.

use super::{ConnectionId, TargetAction};
use indexmap::IndexMap;
use nutmegspread_model::MonotonicTime;
use std::time::Duration;

/// Time after which an idle connection is replaced instead of used again.
const IDLE_BOUND: Duration = Duration::from_secs(15);
/// Time for which an opening may take before it counts as failed.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// First pause after a failed opening.
const FIRST_OPEN_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause after failed openings in a row.
const LAST_OPEN_PAUSE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Opening { since: MonotonicTime },
    Idle { since: MonotonicTime },
    Busy,
}

/// Connections by number, and when the next one may be opened.
#[derive(Clone, Debug)]
pub(super) struct ConnectionPool {
    states: IndexMap<ConnectionId, ConnectionState>,
    next_id: ConnectionId,
    open_after: MonotonicTime,
    open_pause: Duration,
}

impl ConnectionPool {
    /// No connection yet; the first may be opened at once.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            states: IndexMap::new(),
            next_id: 0,
            open_after: now,
            open_pause: Duration::ZERO,
        }
    }

    /// Number that the next connection gets; older ones have smaller numbers.
    pub(super) fn next_id(&self) -> ConnectionId {
        self.next_id
    }

    /// Connections that are open or opening.
    pub(super) fn len(&self) -> usize {
        self.states.len()
    }

    /// Takes the idle connection used last; those idle for too long are closed.
    pub(super) fn take_idle(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<TargetAction>,
    ) -> Option<ConnectionId> {
        while let Some((since, connection)) = self.idle().max() {
            if now < since + IDLE_BOUND {
                self.states.insert(connection, ConnectionState::Busy);
                return Some(connection);
            }
            self.close(connection, actions);
        }
        None
    }

    /// Gives a connection back after a whole reply.
    pub(super) fn release(&mut self, now: MonotonicTime, connection: ConnectionId) {
        if let Some(state) = self.states.get_mut(&connection) {
            *state = ConnectionState::Idle { since: now };
        }
    }

    /// Closes a connection if it is still there.
    pub(super) fn close(&mut self, connection: ConnectionId, actions: &mut Vec<TargetAction>) {
        if self.states.shift_remove(&connection).is_some() {
            actions.push(TargetAction::Close { connection });
        }
    }

    /// Closes every idle connection.
    pub(super) fn close_idle(&mut self, actions: &mut Vec<TargetAction>) {
        while let Some((_, connection)) = self.idle().min() {
            self.close(connection, actions);
        }
    }

    /// Closes the oldest connection that was idle for too long, unless one is being opened.
    pub(super) fn close_stale(&mut self, now: MonotonicTime, actions: &mut Vec<TargetAction>) {
        let oldest = self.idle().min();
        if let Some((since, connection)) = oldest
            && now >= since + IDLE_BOUND
            && self.opening().is_none()
        {
            self.close(connection, actions);
        }
    }

    /// Forgets an idle connection that the target closed.
    pub(super) fn closed(&mut self, connection: ConnectionId) {
        if let Some(ConnectionState::Idle { .. }) = self.states.get(&connection) {
            self.states.shift_remove(&connection);
        }
    }

    /// Closes connections that carry no work until at most `limit` remain.
    pub(super) fn shrink_to(&mut self, limit: usize, actions: &mut Vec<TargetAction>) {
        let mut excess = self.states.len().saturating_sub(limit);
        self.states.retain(|connection, state| {
            if excess == 0 || *state == ConnectionState::Busy {
                return true;
            }
            excess -= 1;
            let connection = *connection;
            actions.push(TargetAction::Close { connection });
            false
        });
    }

    /// Opens a connection unless another one is opening or the pause is not over.
    pub(super) fn open(
        &mut self,
        now: MonotonicTime,
        cost: Duration,
        actions: &mut Vec<TargetAction>,
    ) {
        if now < self.open_after || self.opening().is_some() {
            return;
        }
        let connection = self.next_id;
        self.next_id += 1;
        self.open_after = now + cost;
        let state = ConnectionState::Opening { since: now };
        self.states.insert(connection, state);
        actions.push(TargetAction::Open { connection });
    }

    /// Takes in that a connection is usable; one that is not expected is closed.
    pub(super) fn opened(
        &mut self,
        now: MonotonicTime,
        connection: ConnectionId,
        actions: &mut Vec<TargetAction>,
    ) {
        match self.states.get_mut(&connection) {
            Some(state @ ConnectionState::Opening { .. }) => {
                *state = ConnectionState::Idle { since: now };
                self.open_pause = Duration::ZERO;
            }
            Some(_) => {}
            None => actions.push(TargetAction::Close { connection }),
        }
    }

    /// Takes in that a connection could not be opened.
    pub(super) fn open_failed(&mut self, now: MonotonicTime, connection: ConnectionId) {
        if let Some(ConnectionState::Opening { .. }) = self.states.get(&connection) {
            self.states.shift_remove(&connection);
            self.open_pause = (self.open_pause * 2).clamp(FIRST_OPEN_PAUSE, LAST_OPEN_PAUSE);
            self.open_after = self.open_after.max(now + self.open_pause);
        }
    }

    /// Gives up an opening that took too long; whether there was one.
    pub(super) fn expire_opening(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<TargetAction>,
    ) -> bool {
        let Some((connection, since)) = self.opening() else {
            return false;
        };
        if now < since + OPEN_TIMEOUT {
            return false;
        }
        self.open_failed(now, connection);
        actions.push(TargetAction::Close { connection });
        true
    }

    /// When an opening counts as failed, or the next one may begin if one is wanted.
    pub(super) fn opening_wake_at(&self, wanted: bool) -> Option<MonotonicTime> {
        match self.opening() {
            Some((_, since)) => Some(since + OPEN_TIMEOUT),
            None => wanted.then_some(self.open_after),
        }
    }

    /// When the oldest idle connection is to be replaced.
    pub(super) fn stale_at(&self) -> Option<MonotonicTime> {
        let (since, _) = self.idle().min()?;
        self.opening().is_none().then_some(since + IDLE_BOUND)
    }

    fn opening(&self) -> Option<(ConnectionId, MonotonicTime)> {
        self.states
            .iter()
            .find_map(|(connection, state)| match state {
                ConnectionState::Opening { since } => Some((*connection, *since)),
                _ => None,
            })
    }

    fn idle(&self) -> impl Iterator<Item = (MonotonicTime, ConnectionId)> + '_ {
        self.states
            .iter()
            .filter_map(|(connection, state)| match state {
                ConnectionState::Idle { since } => Some((*since, *connection)),
                _ => None,
            })
    }
}
