//! The targets that a node knows from registrations in the store.
//!
//! A registration lapses if the target does not renew it in time. While the store is unavailable no
//! target can renew, so many registrations may have lapsed when the store is available again.

use crate::{ServiceName, TargetId, TargetRecord};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How the registry handles the removal of registrations.
#[derive(Clone, Copy, Debug)]
pub struct RegistrySettings {
    /// Time that targets get to register again once the store is available after an outage. A
    /// removal within this time takes effect only at the end of this time, unless the target has
    /// registered again by then.
    pub return_time: Duration,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        Self {
            return_time: Duration::from_millis(2500),
        }
    }
}

/// A change to the registrations.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryChange {
    /// The registration under this id was added or changed. `None` if the new registration is not
    /// valid; the target is then removed.
    Put(TargetId, Option<Arc<TargetRecord>>),
    /// The registration under this id was removed.
    Remove(TargetId),
}

/// A target whose registration this node has read.
#[derive(Clone, Debug)]
struct KnownTarget {
    record: Arc<TargetRecord>,
    /// Time at which the target is removed unless it has registered again; `None` while its
    /// registration is in the store.
    missing_until: Option<Instant>,
}

/// The target registrations that this node knows.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    settings: RegistrySettings,
    targets: IndexMap<TargetId, KnownTarget>,
    /// Time at which the store last became available after an outage; `None` if there was none.
    returned: Option<Instant>,
}

impl TargetRegistry {
    /// Creates an empty registry.
    pub fn new(settings: RegistrySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that the store is available again after an outage, from `now` on.
    pub fn store_returned(&mut self, now: Instant) {
        self.returned = Some(now);
    }

    /// Applies a complete list of the registrations in the store; known registrations that are not
    /// in the list are removed.
    pub fn replace(
        &mut self,
        now: Instant,
        entries: impl Iterator<Item = (TargetId, Option<Arc<TargetRecord>>)>,
    ) {
        let mut missing: Vec<TargetId> = self.targets.keys().cloned().collect();
        for (id, record) in entries {
            missing.retain(|known| *known != id);
            self.apply(now, RegistryChange::Put(id, record));
        }
        for id in missing {
            self.apply(now, RegistryChange::Remove(id));
        }
    }

    /// Applies one change. A registration older than the known one under the same id is ignored.
    pub fn apply(&mut self, now: Instant, change: RegistryChange) {
        match change {
            RegistryChange::Put(id, Some(record)) => {
                if let Some(known) = self.targets.get(&id) {
                    let current = (known.record.started_ms, known.record.report);
                    if (record.started_ms, record.report) < current {
                        return;
                    }
                }
                self.targets.insert(
                    id,
                    KnownTarget {
                        record,
                        missing_until: None,
                    },
                );
            }
            RegistryChange::Put(id, None) => {
                self.targets.shift_remove(&id);
            }
            RegistryChange::Remove(id) => self.remove(now, &id),
        }
    }

    /// Removes the targets that are missing from the store and have not registered again in time;
    /// returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.targets.len();
        self.targets
            .retain(|_, known| known.missing_until.is_none_or(|until| now < until));
        before != self.targets.len()
    }

    /// Returns the targets that may get new requests, by service. Draining targets are left out.
    pub fn usable(&self) -> IndexMap<ServiceName, Vec<Arc<TargetRecord>>> {
        let mut services: IndexMap<ServiceName, Vec<Arc<TargetRecord>>> = IndexMap::new();
        for known in self.targets.values().filter(|known| !known.record.draining) {
            services
                .entry(Arc::clone(&known.record.service))
                .or_default()
                .push(Arc::clone(&known.record));
        }
        services
    }

    /// Removes a target, or marks it as missing if the store became available again less than
    /// `return_time` ago. A draining target is always removed at once.
    fn remove(&mut self, now: Instant, id: &TargetId) {
        let until = self
            .returned
            .map(|returned| returned + self.settings.return_time);
        match (until, self.targets.get_mut(id)) {
            (Some(until), Some(known)) if now < until && !known.record.draining => {
                known.missing_until.get_or_insert(until);
            }
            _ => {
                self.targets.shift_remove(id);
            }
        }
    }
}
