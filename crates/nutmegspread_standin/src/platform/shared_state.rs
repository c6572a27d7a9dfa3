//! State of a platform stand-in, shared by its handlers and watches.

use super::object_store::ObjectStore;
use super::{CallCounts, FaultSettings};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Objects, faults and counters behind one lock.
///
/// No task holds the lock while it awaits something.
#[derive(Debug)]
pub(super) struct SharedState {
    inner: Mutex<StandinState>,
    changes: watch::Sender<u64>,
    /// Time between two bookmarks on a watch.
    pub bookmark_interval: Duration,
}

/// State that the lock of [`SharedState`] protects.
#[derive(Debug, Default)]
pub(super) struct StandinState {
    /// Objects and their recent changes.
    pub store: ObjectStore,
    /// Faults that are simulated now.
    pub faults: FaultSettings,
    /// Numbers of calls since the stand-in started.
    pub counts: CallCounts,
}

impl SharedState {
    pub fn new(faults: FaultSettings, bookmark_interval: Duration) -> Arc<Self> {
        let state = StandinState {
            faults,
            ..Default::default()
        };
        let changes = watch::Sender::new(0);
        Arc::new(Self {
            inner: Mutex::new(state),
            changes,
            bookmark_interval,
        })
    }

    /// Locks the state, even if a task panicked while it held the lock.
    pub fn lock(&self) -> MutexGuard<'_, StandinState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes all watches and hanging calls; has to be called after objects or faults change.
    pub fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is woken by [`Self::notify`].
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
