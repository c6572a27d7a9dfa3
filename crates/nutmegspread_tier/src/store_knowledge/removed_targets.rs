//! The last registrations of targets that were removed.

use crate::{TargetId, TargetRecord};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What is remembered of a removed target.
#[derive(Clone, Debug)]
struct RemovedTarget {
    /// Place of its last known registration among all under its id.
    last: (u64, u64),
    /// Era of the store in which that registration was read.
    era: u64,
    /// When the target was last removed or first refused in an era.
    since: Instant,
    /// Registration in the store that is refused because it is not later.
    refused: Option<Arc<TargetRecord>>,
}

/// The last registrations of targets that were removed, in the order of removal.
///
/// An older copy of the store may still hold registrations of these targets.
#[derive(Clone, Debug, Default)]
pub(super) struct RemovedTargets {
    targets: IndexMap<TargetId, RemovedTarget>,
    refusals: u64,
}

impl RemovedTargets {
    /// Remembers a target whose registration `last` was read in `era` and is removed at `now`. Of
    /// more than `limit` targets (one at least), the one that was removed first is forgotten.
    pub(super) fn insert(
        &mut self,
        now: Instant,
        id: TargetId,
        last: &TargetRecord,
        era: u64,
        limit: usize,
    ) {
        self.targets.shift_remove(&id);
        if self.targets.len() >= limit.max(1) {
            self.targets.shift_remove_index(0);
        }
        self.targets.insert(
            id,
            RemovedTarget {
                last: last.order(),
                era,
                since: now,
                refused: None,
            },
        );
    }

    /// Whether a registration that is read in `era` is refused, because the target was removed with
    /// the same or a later one of an earlier era. Keeps a refused registration, and forgets the
    /// target of an accepted one.
    pub(super) fn refuses(
        &mut self,
        now: Instant,
        era: u64,
        id: &TargetId,
        record: &Arc<TargetRecord>,
    ) -> bool {
        let Some(target) = self.targets.get_mut(id) else {
            return false;
        };
        if target.era == era || record.order() > target.last {
            self.targets.shift_remove(id);
            return false;
        }
        if target.refused.replace(Arc::clone(record)).is_none() {
            self.refusals += 1;
            target.since = now;
        }
        true
    }

    /// Place of the last known registration of a removed target.
    pub(super) fn last(&self, id: &TargetId) -> Option<(u64, u64)> {
        self.targets.get(id).map(|target| target.last)
    }

    /// Records that the store no longer has a registration of a removed target.
    pub(super) fn record_removal(&mut self, now: Instant, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.refused = None;
            target.since = now;
        }
    }

    /// Returns the targets with a refused registration.
    pub(super) fn refused(&self) -> impl Iterator<Item = &TargetId> {
        self.targets
            .iter()
            .filter(|(_, target)| target.refused.is_some())
            .map(|(id, _)| id)
    }

    /// Forgets the refused registrations, as the store's contents are other ones.
    pub(super) fn begin_era(&mut self) {
        for target in self.targets.values_mut() {
            target.refused = None;
        }
    }

    /// Forgets the targets that were last removed at least `age` ago and have no refused
    /// registration.
    pub(super) fn expire(&mut self, now: Instant, age: Duration) {
        self.targets.retain(|_, target| {
            target.refused.is_some() || now.saturating_duration_since(target.since) < age
        });
    }

    /// Forgets the targets whose registration was first refused in this era at least `age` before
    /// `confirmed`, and returns these registrations.
    pub(super) fn take_renewed(
        &mut self,
        confirmed: Instant,
        age: Duration,
    ) -> Vec<(TargetId, Arc<TargetRecord>)> {
        let mut renewed = Vec::new();
        self.targets.retain(|id, target| {
            let is_old = confirmed.saturating_duration_since(target.since) >= age;
            let Some(record) = target.refused.take_if(|_| is_old) else {
                return true;
            };
            renewed.push((Arc::clone(id), record));
            false
        });
        renewed
    }

    /// Number of registrations that were refused since the start.
    pub(super) fn refusals(&self) -> u64 {
        self.refusals
    }
}
