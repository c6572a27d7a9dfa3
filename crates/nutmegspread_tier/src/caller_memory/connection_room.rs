//! Limit on the connections of callers.

use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Identifies a connection of a caller among those since the start.
pub type RoomKey = u64;

/// What a connection of a caller does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Waits for a request.
    Idle,
    /// Has sent a part of the head of a request.
    Head,
    /// Has sent the head of a request and a part of its body.
    Body,
    /// Its request is being served.
    Serving,
    /// Waits for its caller to read the answer.
    Answering,
}

/// Whether a new connection may stay open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomVerdict {
    /// It may.
    Admitted(RoomKey),
    /// It may, once this other connection has been closed; ask again then.
    Replaces(RoomKey),
    /// It has to be closed, as every other connection is in use.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct OpenConnection {
    phase: ConnectionPhase,
    /// Time of the last change or progress.
    since: Instant,
    /// Whether the connection was chosen to be closed.
    is_closing: bool,
}

/// Limit on the connections of callers.
///
/// At the limit, a new connection replaces another one: the one that has been idle for longest, else the
/// one whose request or answer has made no progress for longest, and for the stall time at least.
#[derive(Clone, Debug)]
pub struct ConnectionRoom {
    limit: usize,
    stall_time: Duration,
    connections: IndexMap<RoomKey, OpenConnection>,
    next_key: RoomKey,
}

impl ConnectionRoom {
    /// Creates the room for `limit` connections, none of which is open.
    pub fn new(limit: usize, stall_time: Duration) -> Self {
        Self {
            limit,
            stall_time,
            connections: IndexMap::new(),
            next_key: 0,
        }
    }

    /// Number of open connections, with those that are being closed.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Decides on a new connection.
    pub fn open(&mut self, now: Instant) -> RoomVerdict {
        if self.connections.len() < self.limit {
            self.next_key += 1;
            let connection = OpenConnection {
                phase: ConnectionPhase::Idle,
                since: now,
                is_closing: false,
            };
            self.connections.insert(self.next_key, connection);
            return RoomVerdict::Admitted(self.next_key);
        }
        let victim = self
            .connections
            .iter()
            .filter(|(_, connection)| !connection.is_closing && self.may_close(connection, now))
            .min_by_key(|(_, connection)| {
                (connection.phase != ConnectionPhase::Idle, connection.since)
            })
            .map(|(key, _)| *key);
        match victim {
            Some(victim) => {
                self.connections[&victim].is_closing = true;
                RoomVerdict::Replaces(victim)
            }
            None => RoomVerdict::Refused,
        }
    }

    /// Records what a connection does from `now` on, or that it has made progress.
    pub fn set_phase(&mut self, key: RoomKey, phase: ConnectionPhase, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.phase = phase;
            connection.since = now;
        }
    }

    /// Removes a connection that has been closed.
    pub fn close(&mut self, key: RoomKey) {
        self.connections.swap_remove(&key);
    }

    fn may_close(&self, connection: &OpenConnection, now: Instant) -> bool {
        match connection.phase {
            ConnectionPhase::Idle => true,
            ConnectionPhase::Serving => false,
            ConnectionPhase::Head | ConnectionPhase::Body | ConnectionPhase::Answering => {
                now.saturating_duration_since(connection.since) >= self.stall_time
            }
        }
    }
}
