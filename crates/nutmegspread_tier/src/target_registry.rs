//! Known targets, from registrations that may lapse while the store is unavailable.

use crate::{ServiceName, TargetId, TargetRecord};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How the registry treats registrations that are removed.
#[derive(Clone, Copy, Debug)]
pub struct RegistrySettings {
    /// Time after the store is available again within which targets whose registrations lapsed in
    /// the meantime register again; a removal within this time only takes effect at its end.
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
    /// The registration under this id was added or changed; `None` if it is not valid.
    Put(TargetId, Option<Arc<TargetRecord>>),
    /// The registration under this id was removed.
    Remove(TargetId),
}

#[derive(Clone, Debug)]
struct KnownTarget {
    record: Arc<TargetRecord>,
    /// Set while the registration is missing from the store but may still be renewed.
    missing_until: Option<Instant>,
}

/// The target registrations that this node knows.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    settings: RegistrySettings,
    targets: IndexMap<TargetId, KnownTarget>,
    /// Time at which the store last became available again.
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

    /// Records that the store is available again after an outage.
    pub fn store_returned(&mut self, now: Instant) {
        self.returned = Some(now);
    }

    /// Applies a complete list of the registrations; those that are not listed are removed.
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

    /// Applies one change. A registration older than the known one is ignored.
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

    /// Removes registrations that were not renewed in time; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.targets.len();
        self.targets
            .retain(|_, known| known.missing_until.is_none_or(|until| now < until));
        before != self.targets.len()
    }

    /// Returns the targets that may get requests, by service; draining ones are left out.
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

    /// Removes a registration, or marks it as missing if the store became available again a short
    /// time ago.
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
