//! A request of a caller that is being served.

use crate::traffic::send_job::{JobStage, SendJob};
use crate::traffic::target_reply::TargetReply;
use bytes::Bytes;
use nutmegspread_platform::headers;
use nutmegspread_tier::{GatherRun, RepeatRule, ServiceName, ServiceRoute, TargetRecord};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Open sends that the line on the end of a request names.
const LOGGED_SENDS: usize = 8;

/// A request of a caller that is being served.
#[derive(Debug)]
pub struct OpenRequest {
    /// Id of the caller's attempt.
    pub id: String,
    /// Route in the configuration that was in force at the arrival.
    pub route: Arc<ServiceRoute>,
    /// Version of that configuration.
    pub version: u64,
    /// Services that it goes to.
    pub services: Arc<[ServiceName]>,
    /// Whether the answers of the services are merged.
    pub is_gather: bool,
    /// Whether it may run more than once.
    pub repeat: RepeatRule,
    /// When it arrived.
    pub arrived: Instant,
    /// How long the caller and the route let it wait.
    pub patience: Duration,
    /// Request line and headers that are the same for each send.
    pub head: Vec<u8>,
    /// Body.
    pub body: Bytes,
    /// Whether the answer has no body.
    pub is_head: bool,
    /// Its course.
    pub run: RefCell<GatherRun>,
    /// The answers by service.
    pub parts: RefCell<Vec<Option<TargetReply>>>,
    /// The last failure that a target answered with.
    pub failure: RefCell<Option<TargetReply>>,
    /// Sends that have no end yet.
    pub jobs: RefCell<Vec<Rc<SendJob>>>,
    /// Wakes the request when its course may have changed.
    pub changed: Notify,
    /// Whether any byte of it was written to a target.
    pub was_sent: Cell<bool>,
    /// Whether the request is over for the caller.
    pub is_over: Cell<bool>,
}

impl OpenRequest {
    /// The bytes of a send to `target`.
    pub fn message(&self, target: &TargetRecord, now: Instant) -> Vec<u8> {
        let waited = now.saturating_duration_since(self.arrived);
        let left = self.patience.saturating_sub(waited).as_millis();
        let mut message = Vec::with_capacity(self.head.len() + 128 + self.body.len());
        message.extend_from_slice(&self.head);
        message.extend_from_slice(headers::DEADLINE_MS.as_bytes());
        message.extend_from_slice(format!(": {left}\r\n").as_bytes());
        message.extend_from_slice(headers::EXPECTED_TARGET.as_bytes());
        message.extend_from_slice(b": ");
        message.extend_from_slice(target.id.as_bytes());
        message.extend_from_slice(b"\r\n\r\n");
        message.extend_from_slice(&self.body);
        message
    }

    /// When no answer of a target can be of use any more.
    pub fn last_moment(&self) -> Instant {
        self.arrived + self.patience
    }

    /// The sends that have no end yet, for the log.
    pub fn open_sends(&self) -> Vec<String> {
        let jobs = self.jobs.borrow();
        let describe = |job: &Rc<SendJob>| {
            let stage = if job.stage.get() == JobStage::Waiting {
                "waiting"
            } else {
                "sent"
            };
            let age = job.started.elapsed().as_millis();
            format!(
                "{}@{} {stage} {age} ms",
                self.services[job.service], job.target_id
            )
        };
        jobs.iter().take(LOGGED_SENDS).map(describe).collect()
    }

    /// Whether there are sends without an end of which bytes were written.
    pub fn has_sent_jobs(&self) -> bool {
        self.jobs
            .borrow()
            .iter()
            .any(|job| job.stage.get() == JobStage::Sent)
    }
}
