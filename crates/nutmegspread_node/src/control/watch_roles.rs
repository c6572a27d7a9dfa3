//! Switches by which the control state steers how the platform is followed.

use super::platform_follower::FollowRole;
use indexmap::IndexMap;
use nutmegspread_policy::control::WatchedKind;
use nutmegspread_wire::platform::ObjectKind;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{Notify, watch};

/// Whether this node watches, and a bell for each kind.
#[derive(Clone)]
pub struct WatchRoles {
    watching: Arc<watch::Sender<bool>>,
    bells: Arc<Mutex<IndexMap<WatchedKind, Arc<Notify>>>>,
}

impl Default for WatchRoles {
    fn default() -> Self {
        Self {
            watching: Arc::new(watch::Sender::new(true)),
            bells: Arc::default(),
        }
    }
}

impl WatchRoles {
    /// Role of the follower of a kind.
    pub fn role(&self, kind: WatchedKind) -> FollowRole {
        FollowRole {
            watching: self.watching.subscribe(),
            changed: self.bell(kind),
        }
    }

    /// Sets whether this node watches.
    pub fn set_watching(&self, watching: bool) {
        self.watching.send_replace(watching);
    }

    /// Has a kind read now.
    pub fn ring(&self, kind: WatchedKind) {
        self.bell(kind).notify_one();
    }

    fn bell(&self, kind: WatchedKind) -> Arc<Notify> {
        let mut bells = self.bells.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(bells.entry(kind).or_default())
    }
}

/// Kind of platform object that a watched kind stands for.
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
