//! One send to one target.

use crate::traffic::open_request::OpenRequest;
use crate::traffic::target_connection::TargetConnection;
use nutmegspread_tier::{TargetId, TargetKey};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Instant;

/// How far a send has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStage {
    /// It waits for a connection; nothing was written.
    Waiting,
    /// Bytes of it were written.
    Sent,
    /// It is over.
    Done,
}

/// One send to one target.
#[derive(Debug)]
pub struct SendJob {
    /// The request that it belongs to.
    pub request: Rc<OpenRequest>,
    /// Index of the service in the request's route.
    pub service: usize,
    /// Where it goes.
    pub target: TargetKey,
    /// Id of the target there.
    pub target_id: TargetId,
    /// Id of the send in the target's observations.
    pub observation: u64,
    /// When it was decided on.
    pub started: Instant,
    /// How far it has come.
    pub stage: Cell<JobStage>,
    /// The connection that carries it.
    pub connection: RefCell<Weak<TargetConnection>>,
}
