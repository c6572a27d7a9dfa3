//! Limits, delays, counts and silences the connections of a searcher stand-in.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;

/// Limits the number of open connections and sets up one connection at a time.
pub struct ConnectionLimiter {
    limit: u32,
    setup_time: Duration,
    setup: Mutex<()>,
    open: AtomicU32,
    max_open: AtomicU32,
    accepted: AtomicU64,
    refused: AtomicU64,
    /// Connections with a lower number are silent.
    silent_below: AtomicU64,
}

/// One open connection, which counts toward the limit until the permit is dropped.
pub struct ConnectionPermit {
    limiter: Arc<ConnectionLimiter>,
    /// Number of connections that were accepted before this one.
    number: u64,
}

impl ConnectionLimiter {
    /// Creates a limiter for `limit` open connections that each take `setup_time` to set up.
    pub fn new(limit: u32, setup_time: Duration) -> Self {
        Self {
            limit,
            setup_time,
            setup: Mutex::new(()),
            open: AtomicU32::new(0),
            max_open: AtomicU32::new(0),
            accepted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
        }
    }

    /// Accepts a connection; `None` if it would exceed the limit or `refuse` is `true`.
    pub fn admit(self: &Arc<Self>, refuse: bool) -> Option<ConnectionPermit> {
        let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
        if refuse || open > self.limit {
            self.open.fetch_sub(1, Ordering::SeqCst);
            self.refused.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        self.max_open.fetch_max(open, Ordering::SeqCst);
        let number = self.accepted.fetch_add(1, Ordering::SeqCst);
        Some(ConnectionPermit {
            limiter: Arc::clone(self),
            number,
        })
    }

    /// Makes all connections that are open now silent: requests on them get no answer.
    pub fn silence_open(&self) {
        let accepted = self.accepted.load(Ordering::SeqCst);
        self.silent_below.store(accepted, Ordering::SeqCst);
    }

    /// Resets the largest number of open connections to the present number, and the number of
    /// refused connections to zero.
    pub fn reset(&self) {
        self.max_open.store(self.open_count(), Ordering::SeqCst);
        self.refused.store(0, Ordering::SeqCst);
    }

    /// Number of connections that are open now.
    pub fn open_count(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }

    /// Largest number of connections that were open at the same time since the last reset.
    pub fn max_open_count(&self) -> u32 {
        self.max_open.load(Ordering::SeqCst)
    }

    /// Number of connections accepted since the start; a reset does not change it.
    pub fn accepted_count(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Number of connections refused since the last reset.
    pub fn refused_count(&self) -> u64 {
        self.refused.load(Ordering::SeqCst)
    }
}

impl ConnectionPermit {
    /// Waits for the connections that are being set up and then for this connection's setup time.
    pub async fn set_up(&self) {
        let _setup = self.limiter.setup.lock().await;
        tokio::time::sleep(self.limiter.setup_time).await;
    }

    /// Whether requests on the connection get no answer.
    pub fn is_silent(&self) -> bool {
        self.number < self.limiter.silent_below.load(Ordering::SeqCst)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limiter.open.fetch_sub(1, Ordering::SeqCst);
    }
}
