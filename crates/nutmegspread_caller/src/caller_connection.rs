//! State of a caller's connection that its stream and the code which serves its requests share.

use crate::{BodyRefusal, CallerGate};
use bytes::Bytes;
use futures_util::task::AtomicWaker;
use hyper::body::Body;
use nutmegspread_tier::{ConnectionPhase, RoomKey};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// State of a caller's connection that its stream and the code which serves its requests share.
#[derive(Debug)]
pub struct CallerConnection {
    gate: Arc<CallerGate>,
    key: RoomKey,
    phase: Mutex<ConnectionPhase>,
    is_closing: AtomicBool,
    /// Task that serves the connection.
    pub(crate) task: AtomicWaker,
}

impl CallerConnection {
    pub(crate) fn new(gate: Arc<CallerGate>, key: RoomKey) -> Arc<Self> {
        Arc::new(Self {
            gate,
            key,
            phase: Mutex::new(ConnectionPhase::Idle),
            is_closing: AtomicBool::new(false),
            task: AtomicWaker::new(),
        })
    }

    /// Limits that the connection is under.
    pub fn gate(&self) -> &Arc<CallerGate> {
        &self.gate
    }

    /// Marks the request whose head has arrived as being served.
    pub fn begin_request(&self) {
        self.set_phase(ConnectionPhase::Serving);
    }

    /// Marks the answer to a request as ready to be sent.
    pub fn end_request(&self) {
        self.set_phase(ConnectionPhase::Answering);
    }

    /// Reads the body of a request, of `limit` bytes at most, into one buffer.
    ///
    /// # Errors
    /// [`BodyRefusal`]; the caller of this function then has to answer with `connection: close`.
    pub async fn read_body<B>(&self, body: B, limit: usize) -> Result<Bytes, BodyRefusal>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        self.set_phase(ConnectionPhase::Body);
        let on_progress = || self.set_phase(ConnectionPhase::Body);
        let read = self.gate.read_body(body, limit, on_progress).await;
        self.set_phase(ConnectionPhase::Serving);
        read
    }

    pub(crate) fn set_phase(&self, phase: ConnectionPhase) {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner) = phase;
        self.gate.set_phase(self.key, phase);
    }

    pub(crate) fn phase(&self) -> ConnectionPhase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn key(&self) -> RoomKey {
        self.key
    }

    /// Makes the stream return errors, which ends the connection.
    pub(crate) fn close(&self) {
        self.is_closing.store(true, Ordering::Release);
        self.task.wake();
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }
}
