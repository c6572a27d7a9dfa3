//! Limits on callers of one node.

use crate::held_body::HeldBody;
use crate::{BodyRefusal, CallerConnection, CallerSettings, CallerStream, HeadLimits};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use indexmap::IndexMap;
use nutmegspread_tier::{
    BodyKey, CallerMemory, ConnectionPhase, ConnectionRoom, MemoryVerdict, RoomKey, RoomVerdict,
};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Wait for the end of a connection that was closed in favour of a new one.
const REPLACE_TIME: Duration = Duration::from_millis(100);
/// Receive buffer of a connection in the kernel, which doubles the value. What has arrived and was not
/// read counts towards the memory of the machine.
const RECEIVE_BUFFER: usize = 32 * 1024;
/// Send buffer of a connection in the kernel, which doubles the value.
const SEND_BUFFER: usize = 64 * 1024;
/// Smallest capacity of a body's buffer, unless the body is known to be shorter.
const LEAST_CAPACITY: usize = 512;

/// A body that is being received.
#[derive(Debug)]
struct ReceivedBody {
    bytes: Vec<u8>,
    /// Notified when the body is evicted.
    evicted: Arc<Notify>,
}

#[derive(Debug)]
struct GateState {
    memory: CallerMemory,
    /// Bodies that are being received. They are kept here so that an eviction frees them at once.
    bodies: IndexMap<BodyKey, ReceivedBody>,
    room: ConnectionRoom,
    connections: IndexMap<RoomKey, Weak<CallerConnection>>,
}

/// Limits on callers of one node.
#[derive(Debug)]
pub struct CallerGate {
    settings: CallerSettings,
    state: Mutex<GateState>,
    /// Notified when a connection has been closed.
    closed: Notify,
}

impl CallerGate {
    /// Creates the limits of a node without callers.
    pub fn new(settings: CallerSettings) -> Arc<Self> {
        let state = GateState {
            memory: CallerMemory::new(settings.body_bytes, settings.progress),
            bodies: IndexMap::new(),
            room: ConnectionRoom::new(settings.connections, settings.progress.stall_time),
            connections: IndexMap::new(),
        };
        Arc::new(Self {
            settings,
            state: Mutex::new(state),
            closed: Notify::new(),
        })
    }

    /// Limits in force.
    pub fn settings(&self) -> &CallerSettings {
        &self.settings
    }

    /// Bytes that bodies of requests take, and number of open connections.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.lock();
        (state.memory.total(), state.room.count())
    }

    /// Bounds the buffers of the kernel for connections that `listener` accepts.
    ///
    /// # Errors
    /// If the kernel rejects the sizes.
    pub fn bound_buffers(listener: &TcpListener) -> std::io::Result<()> {
        let socket = socket2::SockRef::from(listener);
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        socket.set_send_buffer_size(SEND_BUFFER)
    }

    /// Takes a new connection, whose heads are within `head_limits`; `None` if there is
    /// no room for it. At the limit, this waits until the connection that it replaces has ended.
    pub async fn admit(
        self: &Arc<Self>,
        stream: TcpStream,
        head_limits: HeadLimits,
    ) -> Option<CallerStream> {
        let mut end_time = None;
        loop {
            let closed = self.closed.notified();
            let verdict = self.lock().room.open(Instant::now());
            match verdict {
                RoomVerdict::Admitted(key) => {
                    let connection = CallerConnection::new(Arc::clone(self), key);
                    let weak = Arc::downgrade(&connection);
                    self.lock().connections.insert(key, weak);
                    return Some(CallerStream::new(stream, connection, head_limits));
                }
                RoomVerdict::Replaces(victim) if end_time.is_none() => {
                    let victim = self.lock().connections.get(&victim).and_then(Weak::upgrade);
                    if let Some(victim) = victim {
                        victim.close();
                    }
                    let end = tokio::time::Instant::now() + REPLACE_TIME;
                    end_time = Some(end);
                    if tokio::time::timeout_at(end, closed).await.is_err() {
                        return None;
                    }
                }
                _ => return None,
            }
        }
    }

    /// Reads a body of `limit` bytes at most into one buffer, and calls `on_progress` whenever it has
    /// made progress.
    pub(crate) async fn read_body<B>(
        self: &Arc<Self>,
        mut body: B,
        limit: usize,
        on_progress: impl Fn(),
    ) -> Result<Bytes, BodyRefusal>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        if body.size_hint().lower() > limit as u64 {
            return Err(BodyRefusal::TooLong);
        }
        let announced = body.size_hint().exact().map_or(limit, |size| size as usize);
        let open_body = OpenBody::new(self);
        let end = tokio::time::sleep_until(open_body.end_time.into());
        let mut end = std::pin::pin!(end);
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = open_body.evicted.notified() => return Err(BodyRefusal::Evicted),
                () = &mut end => return Err(BodyRefusal::TimedOut),
            };
            match frame {
                None => return open_body.complete(),
                Some(Err(_)) => return Err(BodyRefusal::Unreadable),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data()
                        && self.append(open_body.key, &data, (announced, limit))?
                    {
                        on_progress();
                    }
                }
            }
        }
    }

    /// Adds bytes to a body; returns whether they make progress.
    fn append(
        &self,
        key: BodyKey,
        data: &[u8],
        (announced, limit): (usize, usize),
    ) -> Result<bool, BodyRefusal> {
        let mut state = self.lock();
        let state = &mut *state;
        let now = Instant::now();
        let body = state.bodies.get(&key).ok_or(BodyRefusal::Evicted)?;
        let length = body.bytes.len() + data.len();
        if length > limit {
            return Err(BodyRefusal::TooLong);
        }
        if length > body.bytes.capacity() {
            let doubled = (body.bytes.capacity() * 2).max(LEAST_CAPACITY);
            let capacity = doubled.min(announced).max(length);
            let MemoryVerdict::Granted { evicted } = state.memory.resize(key, capacity, now) else {
                state.bodies.swap_remove(&key);
                return Err(BodyRefusal::NoMemory);
            };
            for victim in evicted {
                if let Some(victim) = state.bodies.swap_remove(&victim) {
                    victim.evicted.notify_one();
                }
            }
            let bytes = &mut state.bodies[&key].bytes;
            bytes.reserve_exact(capacity - bytes.len());
        }
        state.bodies[&key].bytes.extend_from_slice(data);
        Ok(state.memory.record(key, data.len(), now))
    }

    pub(crate) fn close_body(&self, key: BodyKey) {
        let mut state = self.lock();
        state.bodies.swap_remove(&key);
        state.memory.close(key);
    }

    pub(crate) fn set_phase(&self, key: RoomKey, phase: ConnectionPhase) {
        self.lock().room.set_phase(key, phase, Instant::now());
    }

    pub(crate) fn close_connection(&self, key: RoomKey) {
        let mut state = self.lock();
        state.room.close(key);
        state.connections.swap_remove(&key);
        drop(state);
        self.closed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Entry of a body that is being received, which ends when this value is dropped.
struct OpenBody<'a> {
    gate: &'a Arc<CallerGate>,
    key: BodyKey,
    evicted: Arc<Notify>,
    end_time: Instant,
    is_complete: bool,
}

impl<'a> OpenBody<'a> {
    fn new(gate: &'a Arc<CallerGate>) -> Self {
        let now = Instant::now();
        let evicted = Arc::new(Notify::new());
        let mut state = gate.lock();
        let key = state.memory.open(now);
        let body = ReceivedBody {
            bytes: Vec::new(),
            evicted: Arc::clone(&evicted),
        };
        state.bodies.insert(key, body);
        let end_time = state.memory.end_time(key).unwrap_or(now);
        drop(state);
        Self {
            gate,
            key,
            evicted,
            end_time,
            is_complete: false,
        }
    }

    /// Takes the complete body, which counts for as long as it is held.
    fn complete(mut self) -> Result<Bytes, BodyRefusal> {
        let mut state = self.gate.lock();
        let body = state.bodies.swap_remove(&self.key);
        let body = body.ok_or(BodyRefusal::Evicted)?;
        state.memory.complete(self.key);
        drop(state);
        self.is_complete = true;
        Ok(Bytes::from_owner(HeldBody {
            bytes: body.bytes,
            gate: Arc::clone(self.gate),
            key: self.key,
        }))
    }
}

impl Drop for OpenBody<'_> {
    fn drop(&mut self) {
        if !self.is_complete {
            self.gate.close_body(self.key);
        }
    }
}
