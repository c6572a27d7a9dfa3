//! State that all requests share.

use super::object_store::ObjectStore;
use super::{CallCounts, FaultSettings};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Store, faults and counters behind one lock, which is never held across a wait.
#[derive(Debug)]
pub(super) struct SharedState {
    inner: Mutex<StandinState>,
    changes: watch::Sender<u64>,
    /// Time between bookmarks.
    pub bookmark_interval: Duration,
}

/// What the lock guards.
#[derive(Debug, Default)]
pub(super) struct StandinState {
    /// The objects.
    pub store: ObjectStore,
    /// Faults in force.
    pub faults: FaultSettings,
    /// Counters.
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

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, StandinState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes every watch after a change of objects or faults.
    pub fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Receiver that sees each [`Self::notify`].
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
