//! The objects of one kind as the store holds them, kept to be passed on to other nodes.

use indexmap::IndexMap;
use nutmegspread_platform::StoreObject;
use std::collections::VecDeque;

/// Removals that are remembered; a node that knows less gets everything.
const KEPT_REMOVALS: usize = 1024;

/// The objects of one kind up to a revision of the store.
#[derive(Clone, Debug, Default)]
pub struct KnownObjects {
    objects: IndexMap<String, StoreObject>,
    removals: VecDeque<(u64, String)>,
    revision: Option<u64>,
    /// Earliest revision from which removals are known.
    removals_since: u64,
}

impl KnownObjects {
    /// Revision up to which the objects are known.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Takes a complete list as of `revision`.
    pub fn replace(&mut self, objects: &[StoreObject], revision: u64) {
        self.objects = objects
            .iter()
            .map(|object| (object.name.clone(), object.clone()))
            .collect();
        self.removals.clear();
        self.removals_since = revision;
        self.revision = Some(revision);
    }

    /// Takes one change of a batch that brings the objects to `revision`.
    pub fn change(&mut self, object: &StoreObject, is_removed: bool, revision: u64) {
        if is_removed {
            self.objects.shift_remove(&object.name);
            self.removals.push_back((revision, object.name.clone()));
            if self.removals.len() > KEPT_REMOVALS
                && let Some((dropped, _)) = self.removals.pop_front()
            {
                self.removals_since = dropped;
            }
        } else {
            self.objects.insert(object.name.clone(), object.clone());
        }
    }

    /// Notes that all changes up to `revision` are in.
    pub fn reach(&mut self, revision: u64) {
        self.revision = Some(revision);
    }

    /// Whether what happened after `revision` is known one by one.
    pub fn covers(&self, revision: u64) -> bool {
        revision >= self.removals_since
    }

    /// Objects that were put after `revision`; all of them for 0.
    pub fn put_since(&self, revision: u64) -> impl Iterator<Item = &StoreObject> {
        self.objects
            .values()
            .filter(move |object| revision == 0 || object.revision > revision)
    }

    /// Names of objects that were removed after `revision`.
    pub fn removed_since(&self, revision: u64) -> impl Iterator<Item = &str> {
        self.removals
            .iter()
            .filter(move |(removed, _)| *removed > revision)
            .map(|(_, name)| name.as_str())
    }
}
