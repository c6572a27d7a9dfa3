//! The targets that a node knows from registrations in the store.
//!
//! A registration lapses if the target does not renew it in time. While the store is unavailable no
//! target can renew, so many registrations may have lapsed when the store is available again. If the
//! store comes back from an older copy, it lacks registrations and has some that were changed or
//! removed since.

use super::removed_targets::RemovedTargets;
use crate::{ServiceName, TargetId, TargetRecord};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How the registry handles the removal of registrations.
#[derive(Clone, Copy, Debug)]
pub struct RegistrySettings {
    /// Time that targets get to register again once the store is available after an outage. A
    /// removal within this time takes effect only at the end of this time, unless the target has
    /// registered again by then.
    pub return_time: Duration,
    /// Time for which a removed target is remembered, so that a registration in an older copy of
    /// the store does not bring it back; longer than any copy is old.
    pub removed_time: Duration,
    /// Number of removed targets that are remembered; each takes about 150 bytes.
    pub removed_limit: usize,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        Self {
            return_time: Duration::from_millis(2500),
            removed_time: Duration::from_secs(60),
            removed_limit: 4096,
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
    /// Era in which the registration was read.
    era: u64,
    /// Whether the store of this era was found to lack the registration or to have an older one.
    is_kept: bool,
}

/// The target registrations that this node knows.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    settings: RegistrySettings,
    targets: IndexMap<TargetId, KnownTarget>,
    removed: RemovedTargets,
    /// Time at which the store last became available after an outage; `None` if there was none.
    returned: Option<Instant>,
    /// Time at which the store last came back from an older copy; `None` if it never did.
    restored: Option<Instant>,
    /// Number of times that the store came back from an older copy.
    era: u64,
    /// Number of registrations that were kept against an older copy.
    kept: u64,
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

    /// Records that the store came back from an older copy, in which registrations may be missing,
    /// or older than the known ones, or of targets that were removed since.
    ///
    /// Missing targets get `return_time` to register again, from `now` on. A target that was removed
    /// before is used again only with a later registration than the last known one.
    pub fn begin_era(&mut self, now: Instant) {
        self.era += 1;
        self.restored = Some(now);
        self.removed.begin_era();
        let until = now + self.settings.return_time;
        for known in self.targets.values_mut() {
            known.is_kept = false;
            if known.missing_until.is_some_and(|missing| now < missing) {
                known.missing_until = Some(until);
            }
        }
    }

    /// Applies a complete list of the registrations in the store; known registrations that are not
    /// in the list are removed.
    pub fn replace(
        &mut self,
        now: Instant,
        entries: impl Iterator<Item = (TargetId, Option<Arc<TargetRecord>>)>,
    ) {
        let known = self.targets.keys().chain(self.removed.refused());
        let mut missing: IndexSet<TargetId> = known.cloned().collect();
        for (id, record) in entries {
            missing.swap_remove(&id);
            self.apply(now, RegistryChange::Put(id, record));
        }
        for id in missing {
            self.apply(now, RegistryChange::Remove(id));
        }
    }

    /// Applies one change. A registration older than the known one under the same id is ignored.
    pub fn apply(&mut self, now: Instant, change: RegistryChange) {
        let (RegistryChange::Put(id, _) | RegistryChange::Remove(id)) = &change;
        if let Some(known) = self.targets.get(id)
            && known.era < self.era
            && known.missing_until.is_some_and(|until| until <= now)
        {
            self.forget(now, &Arc::clone(id));
        }
        match change {
            RegistryChange::Put(id, Some(record)) => self.put(now, id, record),
            RegistryChange::Put(id, None) => self.forget(now, &id),
            RegistryChange::Remove(id) => self.remove(now, &id),
        }
    }

    /// Records the last registration of a target whose removal is applied next, which may be later than
    /// the one that this node has read.
    pub fn record_last(&mut self, now: Instant, id: &TargetId, last: Arc<TargetRecord>) {
        match self.targets.get_mut(id) {
            Some(known) if known.record.order() < last.order() => known.record = last,
            Some(_) => {}
            None if self.removed.last(id) < Some(last.order()) => {
                let limit = self.settings.removed_limit;
                self.removed
                    .insert(now, Arc::clone(id), &last, self.era, limit);
            }
            None => {}
        }
    }

    /// Removes the targets that are missing from the store and have not registered again in time;
    /// returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.targets.len();
        let limit = self.settings.removed_limit;
        self.targets.retain(|id, known| {
            let is_due = known.missing_until.is_some_and(|until| until <= now);
            if is_due {
                let id = Arc::clone(id);
                self.removed
                    .insert(now, id, &known.record, known.era, limit);
            }
            !is_due
        });
        self.removed.expire(now, self.settings.removed_time);
        self.targets.len() != before
    }

    /// Takes up the refused registrations that the store has had for `removed_time` and still had at
    /// `confirmed`, the time up to which this node knows the registrations: they would have lapsed if
    /// their targets did not renew them. Returns whether there were any.
    pub fn admit_renewed(&mut self, now: Instant, confirmed: Instant) -> bool {
        let renewed = self
            .removed
            .take_renewed(confirmed, self.settings.removed_time);
        let has_changed = !renewed.is_empty();
        for (id, record) in renewed {
            self.put(now, id, record);
        }
        has_changed
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

    /// Number of registrations that were kept although an older copy of the store lacked them or had
    /// older ones, since the start; each counts once an era.
    pub fn kept_count(&self) -> u64 {
        self.kept
    }

    /// Number of registrations in older copies of the store that were refused because their targets
    /// had been removed, since the start; each counts once an era.
    pub fn refused_count(&self) -> u64 {
        self.removed.refusals()
    }

    /// Applies a valid registration.
    fn put(&mut self, now: Instant, id: TargetId, mut record: Arc<TargetRecord>) {
        if let Some(known) = self.targets.get_mut(&id) {
            let is_earlier_era = known.era < self.era;
            if is_earlier_era && record == known.record {
                // The time for which the target stays cold counts from the first reading.
                record = Arc::clone(&known.record);
            } else if is_earlier_era && record.order() <= known.record.order() {
                known.missing_until = None;
                self.kept += u64::from(!known.is_kept);
                known.is_kept = true;
                return;
            } else if record.order() < known.record.order() {
                return;
            }
        } else if self.removed.refuses(now, self.era, &id, &record) {
            return;
        }
        self.targets.insert(
            id,
            KnownTarget {
                record,
                missing_until: None,
                era: self.era,
                is_kept: false,
            },
        );
    }

    /// Removes a target, or marks it as missing if the store became available again or came back
    /// from an older copy less than `return_time` ago. A draining target is always removed at once.
    fn remove(&mut self, now: Instant, id: &TargetId) {
        let until = self
            .returned
            .max(self.restored)
            .map(|returned| returned + self.settings.return_time);
        match (until, self.targets.get_mut(id)) {
            (Some(until), Some(known)) if now < until && !known.record.draining => {
                known.missing_until.get_or_insert(until);
                if known.era < self.era {
                    self.kept += u64::from(!known.is_kept);
                    known.is_kept = true;
                }
            }
            (_, Some(_)) => self.forget(now, id),
            (_, None) => self.removed.record_removal(now, id),
        }
    }

    /// Removes a target at once and remembers its last registration.
    fn forget(&mut self, now: Instant, id: &TargetId) {
        match self.targets.shift_remove_entry(id) {
            Some((id, known)) => {
                let limit = self.settings.removed_limit;
                self.removed
                    .insert(now, id, &known.record, known.era, limit);
            }
            None => self.removed.record_removal(now, id),
        }
    }
}
