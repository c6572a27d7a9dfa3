//! HTTP/1.1 connection to a target, with one attempt at a time.

use crate::traffic::connection_control::ConnectionControl;
use crate::traffic::target_attempt::{AttemptStage, TargetAttempt};
use crate::traffic::unsent_bytes::UnsentBytes;
use nutmegspread_tier::{ConnectionKey, IdleConnection, TargetRecord};
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::tcp::OwnedWriteHalf;

/// HTTP/1.1 connection to a target, with one attempt at a time.
#[derive(Debug)]
pub struct TargetConnection {
    control: Rc<ConnectionControl>,
    writer: OwnedWriteHalf,
    /// Attempt whose answer is awaited.
    attempt: RefCell<Option<Rc<TargetAttempt>>>,
    /// Bytes of the attempt that the socket has not accepted yet.
    unsent: RefCell<UnsentBytes>,
    idle_until: Cell<Instant>,
    /// Time of the last answer, or of the opening.
    last_used: Cell<Instant>,
    has_answered: Cell<bool>,
}

impl TargetConnection {
    /// Creates a connection that was just opened, which becomes idle for `max_idle` at most.
    pub fn new(
        key: ConnectionKey,
        writer: OwnedWriteHalf,
        now: Instant,
        max_idle: Duration,
    ) -> Self {
        Self {
            control: Rc::new(ConnectionControl::new(key)),
            writer,
            attempt: RefCell::new(None),
            unsent: RefCell::default(),
            idle_until: Cell::new(now + max_idle),
            last_used: Cell::new(now),
            has_answered: Cell::new(false),
        }
    }

    /// Identifies the connection.
    pub fn key(&self) -> ConnectionKey {
        self.control.key
    }

    /// The connection as a candidate for the next attempt.
    pub fn as_idle(&self, now: Instant) -> IdleConnection {
        let is_free = !self.control.is_closing.get() && self.attempt.borrow().is_none();
        IdleConnection {
            key: self.control.key,
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
        *attempt.connection.borrow_mut() = Rc::downgrade(&self.control);
        let message = attempt.request.message(target, now);
        attempt.stage.set(AttemptStage::Sent);
        attempt.sent.set(Some(now));
        attempt.request.was_sent.set(true);
        attempt.counted.set(attempt.request.usage.record_sent());
        attempt
            .request
            .connections
            .borrow_mut()
            .record(self.control.key);
        let written = match self.writer.try_write(&message) {
            Ok(written) => written,
            Err(error) if error.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => {
                // `serve` ends the connection, and reports the error of its own read if it gets one.
                self.control.is_closing.set(true);
                0
            }
        };
        *self.unsent.borrow_mut() = UnsentBytes::after(&message, &attempt.request.body, written);
        *self.attempt.borrow_mut() = Some(attempt);
        self.control.changed.notify_one();
    }

    /// Whether some bytes of the attempt have not been written yet.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.borrow().is_empty()
    }

    /// Waits until the socket may accept bytes.
    ///
    /// # Errors
    /// When the socket reports an error.
    pub async fn writable(&self) -> std::io::Result<()> {
        self.writer.writable().await
    }

    /// Writes as much of the unsent bytes as the socket accepts.
    ///
    /// # Errors
    /// When the socket reports an error.
    pub fn write_unsent(&self) -> std::io::Result<()> {
        match self.unsent.borrow_mut().write(&self.writer) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            written => written,
        }
    }

    /// Closes the connection, even while it carries an attempt.
    pub fn close(&self) {
        self.control.close();
    }

    /// Whether the connection is to be closed.
    pub fn is_closing(&self) -> bool {
        self.control.is_closing.get()
    }

    /// Waits until an attempt is sent or the connection is to be closed.
    pub async fn changed(&self) {
        self.control.changed.notified().await;
    }

    /// Attempt whose answer is awaited.
    pub fn current_attempt(&self) -> Option<Rc<TargetAttempt>> {
        self.attempt.borrow().clone()
    }

    /// Takes the attempt whose answer was awaited when the connection ended.
    pub fn take_attempt(&self) -> Option<Rc<TargetAttempt>> {
        self.attempt.borrow_mut().take()
    }

    /// Time until which an idle connection stays open.
    pub fn idle_until(&self) -> Instant {
        self.idle_until.get()
    }

    /// Records the answer to the attempt, after which the connection stays open for `idle`.
    pub fn record_answer(&self, now: Instant, idle: Duration) {
        self.attempt.borrow_mut().take();
        self.has_answered.set(true);
        self.last_used.set(now);
        self.idle_until.set(now + idle);
    }
}
