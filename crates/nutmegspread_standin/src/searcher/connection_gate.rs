//! Connections of a searcher stand-in: limit, cost and silence.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;

/// Counts connections and sets them up one after the other.
pub struct ConnectionGate {
    limit: u32,
    cost: Duration,
    setup: Mutex<()>,
    open: AtomicU32,
    most: AtomicU32,
    opened: AtomicU64,
    refused: AtomicU64,
    silent_below: AtomicU64,
}

/// One counted connection; it leaves the count when dropped.
pub struct ConnectionPass {
    gate: Arc<ConnectionGate>,
    number: u64,
}

impl ConnectionGate {
    /// A gate for `limit` connections that each take `cost` to set up.
    pub fn new(limit: u32, cost: Duration) -> Self {
        Self {
            limit,
            cost,
            setup: Mutex::new(()),
            open: AtomicU32::new(0),
            most: AtomicU32::new(0),
            opened: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
        }
    }

    /// Counts a connection, or `None` above the limit or when `refuse` is set.
    pub fn admit(self: &Arc<Self>, refuse: bool) -> Option<ConnectionPass> {
        let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
        if refuse || open > self.limit {
            self.open.fetch_sub(1, Ordering::SeqCst);
            self.refused.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        self.most.fetch_max(open, Ordering::SeqCst);
        let number = self.opened.fetch_add(1, Ordering::SeqCst);
        Some(ConnectionPass {
            gate: Arc::clone(self),
            number,
        })
    }

    /// Silences every connection that is open now.
    pub fn silence_open(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
    }

    /// Forgets the most connections seen and those refused; the open ones stay counted.
    pub fn reset(&self) {
        self.most.store(self.open(), Ordering::SeqCst);
        self.refused.store(0, Ordering::SeqCst);
    }

    /// Connections open now.
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }

    /// Most connections open at a time.
    pub fn most(&self) -> u32 {
        self.most.load(Ordering::SeqCst)
    }

    /// Connections accepted in all.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }

    /// Connections refused in all.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::SeqCst)
    }
}

impl ConnectionPass {
    /// Waits until the connection is set up, after those before it.
    pub async fn set_up(&self) {
        let _setup = self.gate.setup.lock().await;
        tokio::time::sleep(self.gate.cost).await;
    }

    /// Whether the connection was silenced.
    pub fn is_silent(&self) -> bool {
        self.number < self.gate.silent_below.load(Ordering::SeqCst)
    }
}

impl Drop for ConnectionPass {
    fn drop(&mut self) {
        self.gate.open.fetch_sub(1, Ordering::SeqCst);
    }
}
