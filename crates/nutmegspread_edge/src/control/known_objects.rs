//! Local copy of the store's objects of one kind, which is relayed to other nodes.

use indexmap::IndexMap;
use nutmegspread_platform::StoreObject;
use nutmegspread_tier::StorePosition;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Largest number of removals that are kept; a node that lacks older ones gets a complete list.
const MAX_REMOVALS: usize = 1024;

/// Objects of one kind as of a position in the store's history, with the latest removals. All revisions
/// are of the era of that position.
#[derive(Clone, Debug, Default)]
pub struct KnownObjects {
    /// Objects by name.
    objects: IndexMap<String, StoreObject>,
    /// Revisions of the latest removals and the objects as they were last, oldest first.
    removals: VecDeque<(u64, StoreObject)>,
    /// Position that the objects correspond to; `None` before the first list.
    position: Option<StorePosition>,
    /// Revision of the last change that the objects contain, or a later one before the next change.
    changed: u64,
    /// Revision after which all removals are in `removals`.
    removals_since: u64,
    /// Time at which the store last confirmed to this node that the objects were current.
    confirmed: Option<Instant>,
    /// The same for a confirmation that a peer got.
    peer_confirmed: Option<Instant>,
}

impl KnownObjects {
    /// Position in the store's history that the objects correspond to; `None` before the first list.
    pub fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Position of the last change that the objects contain; the revision is 0 before the first list.
    pub fn changed(&self) -> StorePosition {
        StorePosition {
            era: self.position.unwrap_or_default().era,
            revision: self.changed,
        }
    }

    /// Records that the store confirmed the objects as current at `now`.
    pub fn confirm(&mut self, now: Instant) {
        self.confirmed = self.confirmed.max(Some(now));
    }

    /// Records that the store confirmed the objects to a peer at `confirmed`.
    pub fn confirm_by_peer(&mut self, confirmed: Instant) {
        self.peer_confirmed = self.peer_confirmed.max(Some(confirmed));
    }

    /// Time since the store last confirmed that the objects were current, to this node or a peer;
    /// `None` if it never did.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed.max(self.peer_confirmed)?;
        Some(now.saturating_duration_since(confirmed))
    }

    /// Time since the store last confirmed to this node that the objects were current; `None` if it
    /// never did. Only this is passed on: if nodes passed on what they heard from each other, the
    /// time that messages take would be lost from the age again and again.
    pub fn own_age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.confirmed?))
    }

    /// Replaces all objects by a complete list as of `position`.
    pub fn replace(&mut self, objects: &[StoreObject], position: StorePosition) {
        let revision = position.revision;
        // In another era, an equal revision may belong to other contents.
        let is_same = self.position.is_some_and(|known| known.era == position.era)
            && objects.len() == self.objects.len()
            && objects.iter().all(|object| {
                let known = self.objects.get(&object.name);
                known.is_some_and(|known| known.revision == object.revision)
            });
        self.position = Some(position);
        if is_same {
            return;
        }
        self.changed = revision;
        self.objects = objects
            .iter()
            .map(|object| (object.name.clone(), object.clone()))
            .collect();
        self.removals.clear();
        self.removals_since = revision;
    }

    /// Gives an object contents that are later than those in the store.
    pub fn keep_contents(&mut self, name: &str, contents: String) {
        if let Some(object) = self.objects.get_mut(name) {
            object.contents = contents;
        }
    }

    /// Applies one change of a batch; [`Self::set_position`] sets the position after the batch.
    pub fn apply_change(&mut self, object: &StoreObject, is_removed: bool, revision: u64) {
        if is_removed {
            self.objects.shift_remove(&object.name);
            self.removals.push_back((revision, object.clone()));
            if self.removals.len() > MAX_REMOVALS
                && let Some((dropped, _)) = self.removals.pop_front()
            {
                self.removals_since = dropped;
            }
        } else {
            // The object was created again, so a node that knows it must not remove it.
            self.removals
                .retain(|(_, removed)| removed.name != object.name);
            self.objects.insert(object.name.clone(), object.clone());
        }
        self.changed = revision;
    }

    /// Sets the position once all changes up to it are applied.
    pub fn set_position(&mut self, position: StorePosition) {
        self.position = Some(position);
    }

    /// Whether all removals after `position` are still known, so that changes suffice instead of a
    /// list.
    pub fn has_removals_since(&self, position: StorePosition) -> bool {
        let era = self.position.unwrap_or_default().era;
        position.era == era && position.revision >= self.removals_since
    }

    /// Objects created or changed after `revision`; all objects if it is 0.
    pub fn changed_since(&self, revision: u64) -> impl Iterator<Item = &StoreObject> {
        self.objects
            .values()
            .filter(move |object| revision == 0 || object.revision > revision)
    }

    /// The objects removed after `revision`, as they were last.
    pub fn removed_since(&self, revision: u64) -> impl Iterator<Item = &StoreObject> {
        self.removals
            .iter()
            .filter(move |(removed, _)| *removed > revision)
            .map(|(_, object)| object)
    }
}
