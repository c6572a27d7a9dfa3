//! HTTP/1.1 connections to targets, each with one attempt at a time.

use crate::traffic::attempt_result::AttemptResult;
use crate::traffic::held_bytes::HeldBytes;
use crate::traffic::reply_reader::{ReplyError, ReplyReader};
use crate::traffic::target_attempt::{AttemptStage, TargetAttempt};
use crate::traffic::target_reply::TargetReply;
use crate::traffic::traffic_state::TrafficState;
use nutmegspread_tier::{ConnectionKey, IdleConnection, TargetKey, TargetRecord};
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;

/// Longest wait for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a request's end for which the connection still waits for the answer. A late answer is
/// evidence on the target's health, and the connection can be used again.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(400);
/// Longest idle time of a connection, also if the target states a longer timeout or none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle timeout on a node that is not advertised to callers; short because targets accept few
/// connections.
const UNADVERTISED_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Fraction of the target's idle timeout after which the node closes the connection, so that no
/// attempt is sent while the target closes it.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Largest number of answers to other requests before the awaited one.
const MAX_CROSSED_ANSWERS: usize = 8;
/// Buffer space in bytes for one read.
const READ_BYTES: usize = 8 * 1024;

/// Reason for the end of a connection without an answer or a request in time.
const TOO_LATE: &str = "no answer in time, or idle for too long";

/// Why a connection could not be opened or has ended.
#[derive(Clone, Debug)]
pub struct ConnectionEnd {
    /// Cause, for the log.
    pub reason: String,
    /// Whether the target reset the connection.
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

/// HTTP/1.1 connection to a target, with one attempt at a time.
#[derive(Debug)]
pub struct TargetConnection {
    key: ConnectionKey,
    writer: OwnedWriteHalf,
    /// Attempt whose answer is awaited.
    attempt: RefCell<Option<Rc<TargetAttempt>>>,
    /// Bytes of the attempt that the socket has not accepted yet.
    unsent: RefCell<Vec<u8>>,
    /// Notified when an attempt is sent or the connection is to be closed.
    changed: Notify,
    is_closing: Cell<bool>,
    idle_until: Cell<Instant>,
    /// Time of the last answer, or of the opening.
    last_used: Cell<Instant>,
    has_answered: Cell<bool>,
}

impl TargetConnection {
    /// Identifies the connection.
    pub fn key(&self) -> ConnectionKey {
        self.key
    }

    /// The connection as a candidate for the next attempt.
    pub fn as_idle(&self, now: Instant) -> IdleConnection {
        let is_free = !self.is_closing.get() && self.attempt.borrow().is_none();
        IdleConnection {
            key: self.key,
            is_open: is_free && now < self.idle_until.get(),
            idle: now.saturating_duration_since(self.last_used.get()),
        }
    }

    /// Whether any answer was received on the connection.
    pub fn has_answered(&self) -> bool {
        self.has_answered.get()
    }

    /// Sends an attempt; its result is passed to the traffic state.
    pub fn send(self: &Rc<Self>, attempt: Rc<TargetAttempt>, target: &TargetRecord, now: Instant) {
        *attempt.connection.borrow_mut() = Rc::downgrade(self);
        let message = attempt.request.message(target, now);
        attempt.stage.set(AttemptStage::Sent);
        attempt.request.was_sent.set(true);
        attempt.request.connections.borrow_mut().record(self.key);
        let written = match self.writer.try_write(&message) {
            Ok(written) => written,
            Err(error) if error.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => {
                // `serve` ends the connection, and reports the error of its own read if it gets one.
                self.is_closing.set(true);
                0
            }
        };
        *self.attempt.borrow_mut() = Some(attempt);
        if written < message.len() {
            *self.unsent.borrow_mut() = message[written..].to_vec();
        }
        self.changed.notify_one();
    }

    /// Writes as much of the unsent bytes as the socket accepts.
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

    /// Closes the connection, even while it carries an attempt.
    pub fn close(&self) {
        self.is_closing.set(true);
        self.changed.notify_one();
    }

    /// Attempt whose answer is awaited.
    pub fn current_attempt(&self) -> Option<Rc<TargetAttempt>> {
        self.attempt.borrow().clone()
    }
}

/// Opens a connection for `attempt`, and serves it and later attempts until the connection ends.
pub async fn run_connection(
    traffic: Rc<TrafficState>,
    key: TargetKey,
    target: std::sync::Arc<TargetRecord>,
    attempt: Rc<TargetAttempt>,
) {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await;
    let stream = match opened {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            traffic.connection_failed(key, &attempt, &ConnectionEnd::from(error));
            return;
        }
        Err(_) => {
            traffic.connection_failed(
                key,
                &attempt,
                &ConnectionEnd::new("TCP connection not established within 1 s"),
            );
            return;
        }
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay_failed", reason:% = error;
            "disabling Nagle's algorithm failed; small writes may be delayed");
    }
    let now = Instant::now();
    let (reader, writer) = stream.into_split();
    let connection = Rc::new(TargetConnection {
        key: traffic.next_connection(),
        writer,
        attempt: RefCell::new(None),
        unsent: RefCell::new(Vec::new()),
        changed: Notify::new(),
        is_closing: Cell::new(false),
        idle_until: Cell::new(now + IDLE_TIMEOUT),
        last_used: Cell::new(now),
        has_answered: Cell::new(false),
    });
    traffic.connection_opened(key, &connection, attempt, now);
    let end = serve(&traffic, key, &connection, reader).await;
    let unanswered = connection.attempt.borrow_mut().take();
    traffic.connection_ended(key, &connection, unanswered, &end);
}

/// Writes pending bytes and reads answers until the connection ends; returns the cause.
async fn serve(
    traffic: &Rc<TrafficState>,
    key: TargetKey,
    connection: &Rc<TargetConnection>,
    mut bytes: OwnedReadHalf,
) -> ConnectionEnd {
    let mut reader = ReplyReader::default();
    let mut held = HeldBytes::new(Arc::clone(&traffic.held_bytes), 0);
    loop {
        if connection.is_closing.get() {
            return ConnectionEnd::new("closed by this node");
        }
        let wait_until = match &*connection.attempt.borrow() {
            Some(attempt) => attempt.request.end_time() + LATE_ANSWER_TIME,
            None => connection.idle_until.get(),
        };
        // A target that sends without a pause would keep the timer from being polled.
        if Instant::now() >= wait_until {
            return ConnectionEnd::new(TOO_LATE);
        }
        let has_unsent = !connection.unsent.borrow().is_empty();
        if !held.set(reader.held_bytes(), &traffic.memory) {
            traffic.shared.metrics.count("target_answers", "given_up");
            return ConnectionEnd::new("the answers of all targets take too much memory");
        }
        reader.buffer.reserve(READ_BYTES);
        let has_ended = tokio::select! {
            biased;
            // After a read that does not fill the buffer, the socket waits for new bytes without
            // another system call. A reader that wraps the socket would read once more first.
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
            () = tokio::time::sleep_until(wait_until.into()) => {
                return ConnectionEnd::new(TOO_LATE);
            }
        };
        let Some(attempt) = connection.current_attempt() else {
            let reason = if has_ended {
                "closed by the target"
            } else {
                "received bytes while no answer was awaited"
            };
            return ConnectionEnd::new(reason);
        };
        reader.expect(!attempt.request.is_gather, attempt.request.is_head);
        let next = next_reply(&mut reader, has_ended, &attempt);
        let wishes = reader.take_wishes();
        if !wishes.is_empty() {
            traffic.apply_wishes(key, &wishes, &attempt.request.id);
        }
        match next {
            Ok(Some(mut reply)) => {
                let held_body = HeldBytes::new(Arc::clone(&traffic.held_bytes), reply.body.len());
                reply.held = Some(held_body);
                // What follows the answer is not held.
                held.set(0, &traffic.memory);
                // If the request was not written completely, its rest would precede the next
                // request on this connection.
                let is_fully_sent = connection.unsent.borrow().is_empty();
                // A second copy of an answer without the id could not be told from the next answer.
                let is_named = reply.request_id.as_ref() == Some(&attempt.request.id);
                if !is_named {
                    traffic.shared.metrics.count("target_answers", "unnamed");
                }
                let is_reusable =
                    is_named && is_fully_sent && !has_ended && !reply.closes && reader.is_empty();
                let max_idle = if traffic.is_advertised() {
                    IDLE_TIMEOUT
                } else {
                    UNADVERTISED_IDLE_TIMEOUT
                };
                let idle = reply.idle.map_or(max_idle, |idle| {
                    idle.mul_f64(IDLE_TIMEOUT_FRACTION).min(max_idle)
                });
                connection.attempt.borrow_mut().take();
                connection.has_answered.set(true);
                connection.last_used.set(Instant::now());
                connection.idle_until.set(Instant::now() + idle);
                if !is_reusable {
                    connection.is_closing.set(true);
                }
                traffic.apply_result(&attempt, AttemptResult::Reply(reply));
                if !is_reusable {
                    return ConnectionEnd::new("not reusable after an answer");
                }
                traffic.connection_idle(key, connection);
            }
            Ok(None) if has_ended => return ConnectionEnd::new("closed by the target"),
            Ok(None) => {}
            Err(error) => return ConnectionEnd::new(&error.to_string()),
        }
    }
}

/// Returns the answer to `attempt` once it is complete; skips answers to other requests.
fn next_reply(
    reader: &mut ReplyReader,
    has_ended: bool,
    attempt: &TargetAttempt,
) -> Result<Option<TargetReply>, ReplyError> {
    for _ in 0..=MAX_CROSSED_ANSWERS {
        match reader.next(has_ended)? {
            Some(reply)
                if reply
                    .request_id
                    .as_ref()
                    .is_some_and(|id| *id != attempt.request.id) =>
            {
                log::info!(event = "crossed_answer", request = attempt.request.id.as_str(),
                    answered = reply.request_id.as_deref(); "skipped an answer to another request");
            }
            other => return Ok(other),
        }
    }
    Err(ReplyError::Malformed(format!(
        "more than {MAX_CROSSED_ANSWERS} answers to other requests"
    )))
}
