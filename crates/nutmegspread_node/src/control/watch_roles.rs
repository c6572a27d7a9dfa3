//! Roles that the control state sets for the tasks that follow the platform's objects.

use super::platform_follower::FollowRole;
use indexmap::IndexMap;
use nutmegspread_policy::control::WatchedKind;
use nutmegspread_wire::platform::ObjectKind;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{Notify, watch};

/// Whether this node watches the platform, and a signal for each kind of object that starts a
/// read. Clones share both.
#[derive(Clone)]
pub struct WatchRoles {
    watching: Arc<watch::Sender<bool>>,
    change_signals: Arc<Mutex<IndexMap<WatchedKind, Arc<Notify>>>>,
}

impl Default for WatchRoles {
    fn default() -> Self {
        Self {
            watching: Arc::new(watch::Sender::new(true)),
            change_signals: Arc::default(),
        }
    }
}

impl WatchRoles {
    /// Role for the task that follows a kind.
    pub fn role(&self, kind: WatchedKind) -> FollowRole {
        FollowRole {
            watching: self.watching.subscribe(),
            changed: self.change_signal(kind),
        }
    }

    /// Sets whether this node watches the platform; applies to all kinds.
    pub fn set_watching(&self, watching: bool) {
        self.watching.send_replace(watching);
    }

    /// Makes the task that follows a kind read its objects now, unless it watches them.
    pub fn request_read(&self, kind: WatchedKind) {
        self.change_signal(kind).notify_one();
    }

    fn change_signal(&self, kind: WatchedKind) -> Arc<Notify> {
        let mut change_signals = self
            .change_signals
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(change_signals.entry(kind).or_default())
    }
}

/// Kind of platform object that corresponds to a watched kind.
pub fn object_kind(kind: WatchedKind) -> ObjectKind {
    match kind {
        WatchedKind::Configuration => ObjectKind::Configuration,
        WatchedKind::Maps => ObjectKind::SnapshotMap,
        WatchedKind::Verdicts => ObjectKind::Verdict,
        WatchedKind::Nodes => ObjectKind::NodeRecord,
        WatchedKind::Vms => ObjectKind::Vm,
        WatchedKind::Roster => ObjectKind::Roster,
    }
}
