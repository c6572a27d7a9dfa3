//! Attempt of one request on one target.

use crate::traffic::connection_control::ConnectionControl;
use crate::traffic::open_request::OpenRequest;
use nutmegspread_tier::{AttemptNumber, ConnectionKey, RequestCost, TargetId, TargetKey};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Instant;

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// The attempt waits for a connection; nothing was written.
    Waiting,
    /// Sent on a connection; bytes of the request may have been written.
    Sent,
    /// The attempt has ended.
    Done,
}

/// Attempt of one request on one target.
#[derive(Debug)]
pub struct TargetAttempt {
    /// Request that the attempt carries.
    pub request: Rc<OpenRequest>,
    /// Index of the service among the services of the request.
    pub service: usize,
    /// Target of the attempt.
    pub target: TargetKey,
    /// Id of the target, for logs.
    pub target_id: TargetId,
    /// Id of the attempt in the health observations of the target.
    pub observation: u64,
    /// What was expected of the attempt at its start.
    pub cost: RequestCost,
    /// Time at which the attempt was sent; `None` while it waits for a connection.
    pub sent: Cell<Option<Instant>>,
    /// Time at which the attempt was started; it may have waited for a connection since.
    pub started: Instant,
    /// Progress of the attempt.
    pub stage: Cell<AttemptStage>,
    /// Number of the attempt in the count of the request for its tenant; `None` until it is written.
    pub counted: Cell<Option<AttemptNumber>>,
    /// Connection that carries the attempt; empty while it waits for one.
    pub connection: RefCell<Weak<ConnectionControl>>,
}

impl TargetAttempt {
    /// Key of the connection that carries the attempt, for logs; `None` while it waits for one, and
    /// once the connection has ended.
    pub fn connection_key(&self) -> Option<ConnectionKey> {
        let connection = self.connection.borrow().upgrade();
        connection.map(|connection| connection.key)
    }
}
