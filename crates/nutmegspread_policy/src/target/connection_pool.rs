//! The connections of one node to one target. A connection carries one request at a time.

use super::{ConnectionId, TargetAction};
use indexmap::IndexMap;
use nutmegspread_model::MonotonicTime;
use std::time::Duration;

/// Time after which an idle connection is no longer used and a new one replaces it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(15);
/// Time after which opening a connection counts as failed.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Backoff after the first failure to open a connection.
const FIRST_OPEN_BACKOFF: Duration = Duration::from_millis(20);
/// Longest backoff after consecutive failures to open a connection.
const LONGEST_OPEN_BACKOFF: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Opening { since: MonotonicTime },
    Idle { since: MonotonicTime },
    Busy,
}

/// The connections by id. At most one connection is opening at a time.
#[derive(Clone, Debug)]
pub(super) struct ConnectionPool {
    states: IndexMap<ConnectionId, ConnectionState>,
    next_id: ConnectionId,
    /// Time from which the next connection may be opened.
    open_after: MonotonicTime,
    /// Latest backoff after a failure to open a connection; zero after a success.
    open_pause: Duration,
}

impl ConnectionPool {
    /// Creates an empty pool; the first connection may be opened at `now`.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            states: IndexMap::new(),
            next_id: 0,
            open_after: now,
            open_pause: Duration::ZERO,
        }
    }

    /// Id of the next connection to be opened. Ids grow, so older connections have smaller ones.
    pub(super) fn next_id(&self) -> ConnectionId {
        self.next_id
    }

    /// Number of connections that are open or opening.
    pub(super) fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns the idle connection that was used most recently and marks it as busy. Closes
    /// connections that were idle for longer than `MAX_IDLE_TIME`.
    pub(super) fn take_idle(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<TargetAction>,
    ) -> Option<ConnectionId> {
        while let Some((since, connection)) = self.idle().max() {
            if now < since + MAX_IDLE_TIME {
                self.states.insert(connection, ConnectionState::Busy);
                return Some(connection);
            }
            self.close(connection, actions);
        }
        None
    }

    /// Marks a busy connection as idle after its request has ended.
    pub(super) fn release(&mut self, now: MonotonicTime, connection: ConnectionId) {
        if let Some(state) = self.states.get_mut(&connection) {
            *state = ConnectionState::Idle { since: now };
        }
    }

    /// Closes a connection if it is still in the pool.
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

    /// Closes the connection that has been idle longest, if that is at least `MAX_IDLE_TIME` and no
    /// connection is opening.
    pub(super) fn close_stale(&mut self, now: MonotonicTime, actions: &mut Vec<TargetAction>) {
        let oldest = self.idle().min();
        if let Some((since, connection)) = oldest
            && now >= since + MAX_IDLE_TIME
            && self.opening().is_none()
        {
            self.close(connection, actions);
        }
    }

    /// Removes an idle connection that the target closed.
    pub(super) fn remove_closed(&mut self, connection: ConnectionId) {
        if let Some(ConnectionState::Idle { .. }) = self.states.get(&connection) {
            self.states.shift_remove(&connection);
        }
    }

    /// Closes connections that aren't busy until at most `limit` connections remain.
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

    /// Opens a connection, unless another one is opening or `open_after` has not been reached. The
    /// connection after this one may be opened `cost` later at the earliest, because the target
    /// needs that long to accept a connection.
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

    /// Marks a connection that has opened as idle. Closes it if it is no longer in the pool.
    pub(super) fn mark_opened(
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

    /// Removes a connection that could not be opened, and increases the backoff.
    pub(super) fn record_open_failure(&mut self, now: MonotonicTime, connection: ConnectionId) {
        if let Some(ConnectionState::Opening { .. }) = self.states.get(&connection) {
            self.states.shift_remove(&connection);
            self.open_pause = (self.open_pause * 2).clamp(FIRST_OPEN_BACKOFF, LONGEST_OPEN_BACKOFF);
            self.open_after = self.open_after.max(now + self.open_pause);
        }
    }

    /// Closes the connection that has been opening for longer than `OPEN_TIMEOUT`; returns whether
    /// there was one.
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
        self.record_open_failure(now, connection);
        actions.push(TargetAction::Close { connection });
        true
    }

    /// Time at which the connection that is opening counts as failed. If none is opening, the time
    /// from which one may be opened, or `None` if `wanted` is false.
    pub(super) fn opening_wake_at(&self, wanted: bool) -> Option<MonotonicTime> {
        match self.opening() {
            Some((_, since)) => Some(since + OPEN_TIMEOUT),
            None => wanted.then_some(self.open_after),
        }
    }

    /// Time at which the connection that has been idle longest is to be replaced; `None` if none is
    /// idle or while another one is opening.
    pub(super) fn stale_at(&self) -> Option<MonotonicTime> {
        let (since, _) = self.idle().min()?;
        self.opening().is_none().then_some(since + MAX_IDLE_TIME)
    }

    /// The connection that is opening, and since when.
    fn opening(&self) -> Option<(ConnectionId, MonotonicTime)> {
        self.states
            .iter()
            .find_map(|(connection, state)| match state {
                ConnectionState::Opening { since } => Some((*connection, *since)),
                _ => None,
            })
    }

    /// The idle connections, each with the time since which it has been idle.
    fn idle(&self) -> impl Iterator<Item = (MonotonicTime, ConnectionId)> + '_ {
        self.states
            .iter()
            .filter_map(|(connection, state)| match state {
                ConnectionState::Idle { since } => Some((*since, *connection)),
                _ => None,
            })
    }
}
