//! Choice of the connection to a target that carries an attempt.

use crate::RepeatRule;
use std::time::Duration;

/// Identifies a connection to a target within one run of a node.
pub type ConnectionKey = u64;

/// Longest idle time of a connection that may carry a request which runs at most once.
const MAX_RECENT_IDLE: Duration = Duration::from_millis(150);

/// What becomes of an idle connection when an attempt needs one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// It carries the attempt.
    Carry,
    /// It stays idle for other requests.
    Spare,
    /// It is closed, because it cannot be used any more.
    Close,
}

/// An idle connection to the target of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleConnection {
    /// Identifies the connection.
    pub key: ConnectionKey,
    /// Whether the connection is open and the target has not announced to close it by now.
    pub is_open: bool,
    /// Time since the last answer on the connection.
    pub idle: Duration,
}

/// The connections that may carry the attempts of one request.
///
/// Load pattern: a target that is full rejects a request and takes it when it is asked again some
/// milliseconds later, while some answers of the target arrive a second time. The id in an answer
/// tells it from the answers to other requests, but not from those to other attempts of the same
/// request. Each connection therefore carries a request at most once.
#[derive(Clone, Debug, Default)]
pub struct RequestConnections {
    /// Connections that have carried an attempt of the request.
    carriers: Vec<ConnectionKey>,
}

impl RequestConnections {
    /// Whether a connection has carried no attempt of the request yet.
    pub fn may_use(&self, connection: ConnectionKey) -> bool {
        !self.carriers.contains(&connection)
    }

    /// Records that a connection carries an attempt of the request.
    pub fn record(&mut self, connection: ConnectionKey) {
        self.carriers.push(connection);
    }

    /// What becomes of `connection` when an attempt of the request needs one.
    ///
    /// A target may have closed an idle connection, and a request that is lost on such a connection
    /// may have run. A request that runs at most once is therefore sent only on a recently used
    /// connection.
    pub fn choose(&self, connection: &IdleConnection, repeat: RepeatRule) -> ConnectionChoice {
        let is_recent = repeat == RepeatRule::Idempotent || connection.idle < MAX_RECENT_IDLE;
        if !connection.is_open {
            ConnectionChoice::Close
        } else if is_recent && self.may_use(connection.key) {
            ConnectionChoice::Carry
        } else {
            ConnectionChoice::Spare
        }
    }
}
