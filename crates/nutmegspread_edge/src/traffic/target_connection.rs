//! One connection to a target, one request at a time.

use crate::traffic::job_end::JobEnd;
use crate::traffic::reply_reader::{ReplyError, ReplyReader};
use crate::traffic::send_job::{JobStage, SendJob};
use crate::traffic::target_reply::TargetReply;
use crate::traffic::traffic_state::TrafficState;
use nutmegspread_tier::{TargetKey, TargetRecord};
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a request's end for which its answer is still waited for.
const LATE_ANSWER: Duration = Duration::from_millis(400);
/// Idle time after which a connection is closed where the target says nothing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The same on a node that callers are not sent to; targets bear few connections.
const UNNAMED_IDLE: Duration = Duration::from_secs(1);
/// Part of the target's idle timeout that is used, so that its close is not met by a request.
const IDLE_SHARE: f64 = 0.7;
/// Bytes read at once.
const READ_BYTES: usize = 8 * 1024;

/// Why a connection is of no more use.
#[derive(Clone, Debug)]
pub struct ConnectionEnd {
    /// What happened.
    pub reason: String,
    /// Whether the target reset it.
    pub is_reset: bool,
}

impl ConnectionEnd {
    fn new(reason: &str) -> Self {
        Self {
            reason: reason.to_owned(),
            is_reset: false,
        }
    }
}

impl From<std::io::Error> for ConnectionEnd {
    fn from(error: std::io::Error) -> Self {
        let is_reset = error.kind() == ErrorKind::ConnectionReset;
        Self {
            reason: error.to_string(),
            is_reset,
        }
    }
}

/// One connection to a target.
#[derive(Debug)]
pub struct TargetConnection {
    writer: OwnedWriteHalf,
    job: RefCell<Option<Rc<SendJob>>>,
    unsent: RefCell<Vec<u8>>,
    changed: Notify,
    is_closing: Cell<bool>,
    idle_until: Cell<Instant>,
    used: Cell<Instant>,
    has_answered: Cell<bool>,
}

impl TargetConnection {
    /// Whether a request may be sent now.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.is_closing.get() && self.job.borrow().is_none() && now < self.idle_until.get()
    }

    /// Whether an answer came on it.
    pub fn has_answered(&self) -> bool {
        self.has_answered.get()
    }

    /// Time since the last answer.
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.used.get())
    }

    /// Sends a request; its end is reported to the traffic state.
    pub fn send(self: &Rc<Self>, job: Rc<SendJob>, target: &TargetRecord, now: Instant) {
        *job.connection.borrow_mut() = Rc::downgrade(self);
        let message = job.request.message(target, now);
        job.stage.set(JobStage::Sent);
        job.request.was_sent.set(true);
        let written = match self.writer.try_write(&message) {
            Ok(written) => written,
            Err(error) if error.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => {
                // The reading side finds out why the connection is unusable.
                self.is_closing.set(true);
                0
            }
        };
        *self.job.borrow_mut() = Some(job);
        if written < message.len() {
            *self.unsent.borrow_mut() = message[written..].to_vec();
        }
        self.changed.notify_one();
    }

    /// Writes more of a request that did not go out at once.
    fn write_unsent(&self) -> std::io::Result<()> {
        let mut unsent = self.unsent.borrow_mut();
        match self.writer.try_write(&unsent) {
            Ok(written) => {
                unsent.drain(..written);
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Ends the connection, whatever it is doing.
    pub fn close(&self) {
        self.is_closing.set(true);
        self.changed.notify_one();
    }

    /// The request whose answer is awaited.
    pub fn current(&self) -> Option<Rc<SendJob>> {
        self.job.borrow().clone()
    }
}

/// Opens a connection for `job` and serves it until it ends.
pub async fn run_connection(
    traffic: Rc<TrafficState>,
    key: TargetKey,
    target: std::sync::Arc<TargetRecord>,
    job: Rc<SendJob>,
) {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await;
    let stream = match opened {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            traffic.connection_failed(key, &job, &ConnectionEnd::from(error));
            return;
        }
        Err(_) => {
            traffic.connection_failed(key, &job, &ConnectionEnd::new("no connection within 1 s"));
            return;
        }
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay_failed", reason:% = error; "small writes may wait");
    }
    let now = Instant::now();
    let (reader, writer) = stream.into_split();
    let connection = Rc::new(TargetConnection {
        writer,
        job: RefCell::new(None),
        unsent: RefCell::new(Vec::new()),
        changed: Notify::new(),
        is_closing: Cell::new(false),
        idle_until: Cell::new(now + IDLE_TIMEOUT),
        used: Cell::new(now),
        has_answered: Cell::new(false),
    });
    traffic.connection_opened(key, &connection, job, now);
    let end = serve(&traffic, key, &connection, reader).await;
    let unanswered = connection.job.borrow_mut().take();
    traffic.connection_ended(key, &connection, unanswered, &end);
}

/// Reads answers until the connection is of no more use; returns why.
async fn serve(
    traffic: &Rc<TrafficState>,
    key: TargetKey,
    connection: &Rc<TargetConnection>,
    mut bytes: OwnedReadHalf,
) -> ConnectionEnd {
    let mut reader = ReplyReader::default();
    loop {
        if connection.is_closing.get() {
            return ConnectionEnd::new("closed by this node");
        }
        let patience = match &*connection.job.borrow() {
            Some(job) => job.request.last_moment() + LATE_ANSWER,
            None => connection.idle_until.get(),
        };
        let has_unsent = !connection.unsent.borrow().is_empty();
        reader.buffer.reserve(READ_BYTES);
        let has_ended = tokio::select! {
            biased;
            // A read that brings less than asked for tells that no more is there yet, which saves
            // a call; other readers ask once more.
            read = bytes.read_buf(&mut reader.buffer) => match read {
                Ok(read) => read == 0,
                Err(error) => return error.into(),
            },
            ready = connection.writer.writable(), if has_unsent => {
                match ready.and_then(|()| connection.write_unsent()) {
                    Ok(()) => continue,
                    Err(error) => return error.into(),
                }
            }
            () = connection.changed.notified() => continue,
            () = tokio::time::sleep_until(patience.into()) => {
                return ConnectionEnd::new("no answer in time, or idle for long");
            }
        };
        let Some(job) = connection.current() else {
            let reason = if has_ended {
                "closed by the target"
            } else {
                "bytes without a request"
            };
            return ConnectionEnd::new(reason);
        };
        reader.expect(!job.request.is_gather, job.request.is_head);
        match next_reply(&mut reader, has_ended, &job) {
            Ok(Some(reply)) => {
                // A request that was not taken whole would be followed by its rest.
                let is_whole = connection.unsent.borrow().is_empty();
                let is_kept = is_whole && !has_ended && !reply.closes && reader.is_empty();
                let longest = if traffic.is_named() {
                    IDLE_TIMEOUT
                } else {
                    UNNAMED_IDLE
                };
                let idle = reply
                    .idle
                    .map_or(longest, |idle| idle.mul_f64(IDLE_SHARE).min(longest));
                connection.job.borrow_mut().take();
                connection.has_answered.set(true);
                connection.used.set(Instant::now());
                connection.idle_until.set(Instant::now() + idle);
                if !is_kept {
                    connection.is_closing.set(true);
                }
                traffic.job_ended(&job, JobEnd::Reply(reply));
                if !is_kept {
                    return ConnectionEnd::new("not kept after an answer");
                }
                traffic.connection_idle(key, connection);
            }
            Ok(None) if has_ended => return ConnectionEnd::new("closed by the target"),
            Ok(None) => {}
            Err(error) => return ConnectionEnd::new(&error.to_string()),
        }
    }
}

/// The answer to `job`; answers to other requests are skipped.
fn next_reply(
    reader: &mut ReplyReader,
    has_ended: bool,
    job: &SendJob,
) -> Result<Option<TargetReply>, ReplyError> {
    loop {
        match reader.next(has_ended)? {
            Some(reply)
                if reply
                    .request_id
                    .as_ref()
                    .is_some_and(|id| *id != job.request.id) =>
            {
                log::info!(event = "crossed_answer", request = job.request.id.as_str(),
                    answered = reply.request_id.as_deref(); "answer to another request skipped");
            }
            other => return Ok(other),
        }
    }
}
