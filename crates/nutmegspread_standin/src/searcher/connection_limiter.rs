//! Connections of a searcher stand-in: limit, cost and silence.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;

/// Counts connections and sets them up one after the other.
pub struct ConnectionLimiter {
    limit: u32,
    setup_time: Duration,
    setup: Mutex<()>,
    open_count: AtomicU32,
    max_open_count: AtomicU32,
    accepted_count: AtomicU64,
    refused_count: AtomicU64,
    silent_below: AtomicU64,
}

/// One counted connection; it leaves the count when dropped.
pub struct ConnectionPermit {
    limiter: Arc<ConnectionLimiter>,
    number: u64,
}

impl ConnectionLimiter {
    /// A gate for `limit` connections that each take `cost` to set up.
    pub fn new(limit: u32, setup_time: Duration) -> Self {
        Self {
            limit,
            setup_time,
            setup: Mutex::new(()),
            open_count: AtomicU32::new(0),
            max_open_count: AtomicU32::new(0),
            accepted_count: AtomicU64::new(0),
            refused_count: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
        }
    }

    /// Counts a connection, or `None` above the limit or when `refuse` is set.
    pub fn admit(self: &Arc<Self>, refuse: bool) -> Option<ConnectionPermit> {
        let open_count = self.open_count.fetch_add(1, Ordering::SeqCst) + 1;
        if refuse || open_count > self.limit {
            self.open_count.fetch_sub(1, Ordering::SeqCst);
            self.refused_count.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        self.max_open_count.fetch_max(open_count, Ordering::SeqCst);
        let number = self.accepted_count.fetch_add(1, Ordering::SeqCst);
        Some(ConnectionPermit {
            limiter: Arc::clone(self),
            number,
        })
    }

    /// Silences every connection that is open now.
    pub fn silence_open(&self) {
        let accepted_count = self.accepted_count.load(Ordering::SeqCst);
        self.silent_below.store(accepted_count, Ordering::SeqCst);
    }

    /// Forgets the most connections seen and those refused; the open ones stay counted.
    pub fn reset(&self) {
        self.max_open_count
            .store(self.open_count(), Ordering::SeqCst);
        self.refused_count.store(0, Ordering::SeqCst);
    }

    /// Connections open now.
    pub fn open_count(&self) -> u32 {
        self.open_count.load(Ordering::SeqCst)
    }

    /// Most connections open at a time.
    pub fn max_open_count(&self) -> u32 {
        self.max_open_count.load(Ordering::SeqCst)
    }

    /// Connections accepted in all.
    pub fn accepted_count(&self) -> u64 {
        self.accepted_count.load(Ordering::SeqCst)
    }

    /// Connections refused in all.
    pub fn refused_count(&self) -> u64 {
        self.refused_count.load(Ordering::SeqCst)
    }
}

impl ConnectionPermit {
    /// Waits until the connection is set up, after those before it.
    pub async fn set_up(&self) {
        let _setup = self.limiter.setup.lock().await;
        tokio::time::sleep(self.limiter.setup_time).await;
    }

    /// Whether the connection was silenced.
    pub fn is_silent(&self) -> bool {
        self.number < self.limiter.silent_below.load(Ordering::SeqCst)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limiter.open_count.fetch_sub(1, Ordering::SeqCst);
    }
}
