//! Request of a caller that is being served.

use crate::traffic::request_usage::RequestUsage;
use crate::traffic::target_attempt::{AttemptStage, TargetAttempt};
use crate::traffic::target_reply::TargetReply;
use bytes::Bytes;
use nutmegspread_platform::headers;
use nutmegspread_tier::{
    GatherRun, RepeatRule, RequestConnections, ServiceName, ServiceRoute, TargetRecord,
    TenantRecord,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Largest number of open attempts in the log line on the end of a request.
const MAX_LOGGED_ATTEMPTS: usize = 8;

/// Request of a caller that is being served.
#[derive(Debug)]
pub struct OpenRequest {
    /// Request id that the caller sent; empty if there was none.
    pub id: String,
    /// Route of the request in the configuration at its arrival.
    pub route: Arc<ServiceRoute>,
    /// Tenant of the request; `None` if it belongs to none.
    pub tenant: Option<Arc<TenantRecord>>,
    /// Counting of the request for its tenant.
    pub usage: RequestUsage,
    /// Priority of the request, of its tenant or else of its route; 0 is the most urgent.
    pub priority: u32,
    /// Version of the configuration at its arrival.
    pub version: u64,
    /// Services that the request is sent to.
    pub services: Arc<[ServiceName]>,
    /// Whether the answers of the services are merged into one answer.
    pub is_gather: bool,
    /// Whether the request may run more than once.
    pub repeat: RepeatRule,
    /// Time of arrival.
    pub arrived: Instant,
    /// Time from arrival within which the request has to be answered: the smaller one of the
    /// caller's deadline and the route's timeout.
    pub time_limit: Duration,
    /// Request line and headers that are the same in each attempt.
    pub head: Vec<u8>,
    /// Body of the request.
    pub body: Bytes,
    /// Whether the method is HEAD, so that answers have no body.
    pub is_head: bool,
    /// State of the attempts on each service, which decides when to send more and when to answer.
    pub run: RefCell<GatherRun>,
    /// First successful answer of each service.
    pub parts: RefCell<Vec<Option<TargetReply>>>,
    /// Last answer of a target that reported a failure.
    pub failure: RefCell<Option<TargetReply>>,
    /// Attempts that have not ended yet.
    pub attempts: RefCell<Vec<Rc<TargetAttempt>>>,
    /// Connections that have carried an attempt.
    pub connections: RefCell<RequestConnections>,
    /// Notified when the request may have to be answered or needs another attempt.
    pub changed: Notify,
    /// Whether any byte of the request was written to a target.
    pub was_sent: Cell<bool>,
    /// Whether an attempt has ended without running.
    pub was_turned_away: Cell<bool>,
    /// Whether the request has ended for its caller; some attempts may still be open.
    pub is_over: Cell<bool>,
}

impl OpenRequest {
    /// Encodes the request for an attempt to `target`, with the time that remains at `now`.
    pub fn message(&self, target: &TargetRecord, now: Instant) -> Vec<u8> {
        let waited = now.saturating_duration_since(self.arrived);
        let remaining_ms = self.time_limit.saturating_sub(waited).as_millis();
        let mut message = Vec::with_capacity(self.head.len() + 128 + self.body.len());
        message.extend_from_slice(&self.head);
        message.extend_from_slice(headers::DEADLINE_MS.as_bytes());
        message.extend_from_slice(format!(": {remaining_ms}\r\n").as_bytes());
        message.extend_from_slice(headers::EXPECTED_TARGET.as_bytes());
        message.extend_from_slice(b": ");
        message.extend_from_slice(target.id.as_bytes());
        message.extend_from_slice(b"\r\n\r\n");
        message.extend_from_slice(&self.body);
        message
    }

    /// Name of the tenant, for the log.
    pub fn tenant_name(&self) -> Option<&str> {
        self.tenant.as_ref().map(|tenant| &*tenant.name)
    }

    /// Time after which answers of targets are no longer of use.
    pub fn end_time(&self) -> Instant {
        self.arrived + self.time_limit
    }

    /// Describes the attempts that have not ended yet, for the log.
    pub fn open_attempts(&self) -> Vec<String> {
        let attempts = self.attempts.borrow();
        let describe = |attempt: &Rc<TargetAttempt>| {
            let stage = if attempt.stage.get() == AttemptStage::Waiting {
                "waiting"
            } else {
                "sent"
            };
            let age = attempt.started.elapsed().as_millis();
            format!(
                "{}@{} {stage} {age} ms",
                self.services[attempt.service], attempt.target_id
            )
        };
        attempts
            .iter()
            .take(MAX_LOGGED_ATTEMPTS)
            .map(describe)
            .collect()
    }

    /// Whether any byte was written for an attempt that has not ended yet.
    pub fn has_sent_attempts(&self) -> bool {
        self.attempts
            .borrow()
            .iter()
            .any(|attempt| attempt.stage.get() == AttemptStage::Sent)
    }
}
