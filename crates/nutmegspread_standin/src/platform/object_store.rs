//! Versioned objects and their history.

use indexmap::IndexMap;
use nutmegspread_model::ResourceVersion;
use serde_json::{Map, Value, json};
use std::borrow::Cow;
use std::collections::VecDeque;

/// Number of past changes that watches and stale reads can still see.
const HISTORY_EVENTS: usize = 4096;
/// Largest stored object, in bytes.
pub(super) const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

/// Kind and name.
type ObjectKey = (String, String);

/// Why a write was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreError {
    /// The version differs, or the name is taken.
    Conflict,
    /// No such object.
    NotFound,
    /// The value is above the limit.
    TooLarge,
    /// The object has no name or is not an object.
    Invalid,
    /// The position is older than the history.
    Gone,
}

/// Part of an object that a write replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ObjectPart {
    /// Everything but the status.
    Spec,
    /// The status alone.
    Status,
}

/// One change.
#[derive(Clone, Debug)]
pub(super) struct StoreEvent {
    /// Version that the change made.
    pub version: ResourceVersion,
    /// `ADDED`, `MODIFIED` or `DELETED`.
    pub event: &'static str,
    /// Object after the change, or its last state when deleted.
    pub object: Value,
    key: ObjectKey,
    before: Option<Value>,
}

/// All objects.
#[derive(Debug, Default)]
pub(super) struct ObjectStore {
    version: ResourceVersion,
    objects: IndexMap<ObjectKey, Value>,
    history: VecDeque<StoreEvent>,
}

impl ObjectStore {
    /// Version of the last change.
    pub fn version(&self) -> ResourceVersion {
        self.version
    }

    /// One object as it was `stale` versions ago.
    pub fn fetch(&self, kind: &str, name: &str, stale: u64) -> Option<Value> {
        self.objects_before(stale).get(&key_of(kind, name)).cloned()
    }

    /// All objects of a kind as they were `stale` versions ago, as the body of a list.
    pub fn list(&self, kind: &str, stale: u64) -> Value {
        let objects = self.objects_before(stale);
        let items: Vec<&Value> = objects
            .iter()
            .filter(|(key, _)| key.0 == kind)
            .map(|(_, object)| object)
            .collect();
        let version = self.version.saturating_sub(stale);
        json!({ "metadata": { "resourceVersion": version }, "items": items })
    }

    /// Creates an object.
    pub fn create(&mut self, kind: &str, object: Value) -> Result<Value, StoreError> {
        let name = name_of(&object).ok_or(StoreError::Invalid)?;
        let key = key_of(kind, &name);
        if self.objects.contains_key(&key) {
            return Err(StoreError::Conflict);
        }
        self.put("ADDED", key, object)
    }

    /// Replaces an object whose version is still the one in `object`.
    pub fn replace(
        &mut self,
        kind: &str,
        name: &str,
        part: ObjectPart,
        mut object: Value,
    ) -> Result<Value, StoreError> {
        let key = key_of(kind, name);
        let current = self.objects.get(&key).ok_or(StoreError::NotFound)?;
        if name_of(&object).as_deref() != Some(name) {
            return Err(StoreError::Invalid);
        }
        if version_of(&object) != version_of(current) {
            return Err(StoreError::Conflict);
        }
        let merged = match part {
            ObjectPart::Spec => {
                object["status"] = current["status"].clone();
                object
            }
            ObjectPart::Status => with_status(current.clone(), &object),
        };
        self.put("MODIFIED", key, merged)
    }

    /// Deletes an object, if its version is still `version` where one is given.
    pub fn delete(
        &mut self,
        kind: &str,
        name: &str,
        version: Option<ResourceVersion>,
    ) -> Result<Value, StoreError> {
        let key = key_of(kind, name);
        let current = self.objects.get(&key).ok_or(StoreError::NotFound)?;
        if version.is_some() && version_of(current) != version {
            return Err(StoreError::Conflict);
        }
        let before = self.objects.shift_remove(&key);
        let mut object = before.clone().unwrap_or_default();
        self.version += 1;
        object["metadata"]["resourceVersion"] = json!(self.version);
        self.record("DELETED", key, object.clone(), before);
        Ok(object)
    }

    /// Changes of a kind after a version.
    pub fn events_after(
        &self,
        kind: &str,
        position: ResourceVersion,
    ) -> Result<Vec<StoreEvent>, StoreError> {
        let oldest = self
            .history
            .front()
            .map_or(self.version + 1, |event| event.version);
        if position + 1 < oldest {
            return Err(StoreError::Gone);
        }
        let later = self
            .history
            .iter()
            .rev()
            .take_while(|event| event.version > position);
        let mut events: Vec<StoreEvent> =
            later.filter(|event| event.key.0 == kind).cloned().collect();
        events.reverse();
        Ok(events)
    }

    fn put(
        &mut self,
        event: &'static str,
        key: ObjectKey,
        mut object: Value,
    ) -> Result<Value, StoreError> {
        if !object["metadata"].is_object() {
            return Err(StoreError::Invalid);
        }
        if object.to_string().len() > VALUE_LIMIT_BYTES {
            return Err(StoreError::TooLarge);
        }
        self.version += 1;
        object["metadata"]["resourceVersion"] = json!(self.version);
        let before = self.objects.insert(key.clone(), object.clone());
        self.record(event, key, object.clone(), before);
        Ok(object)
    }

    fn record(
        &mut self,
        event: &'static str,
        key: ObjectKey,
        object: Value,
        before: Option<Value>,
    ) {
        let version = self.version;
        self.history.push_back(StoreEvent {
            version,
            event,
            object,
            key,
            before,
        });
        if self.history.len() > HISTORY_EVENTS {
            self.history.pop_front();
        }
    }

    fn objects_before(&self, stale: u64) -> Cow<'_, IndexMap<ObjectKey, Value>> {
        if stale == 0 {
            return Cow::Borrowed(&self.objects);
        }
        let mut objects = self.objects.clone();
        let past = self.version.saturating_sub(stale);
        for event in self
            .history
            .iter()
            .rev()
            .take_while(|event| event.version > past)
        {
            match &event.before {
                Some(before) => objects.insert(event.key.clone(), before.clone()),
                None => objects.shift_remove(&event.key),
            };
        }
        Cow::Owned(objects)
    }
}

fn key_of(kind: &str, name: &str) -> ObjectKey {
    (kind.to_owned(), name.to_owned())
}

fn name_of(object: &Value) -> Option<String> {
    object["metadata"]["name"]
        .as_str()
        .filter(|name| !name.is_empty())
        .map(str::to_owned)
}

fn version_of(object: &Value) -> Option<ResourceVersion> {
    object["metadata"]["resourceVersion"].as_u64()
}

fn with_status(mut current: Value, object: &Value) -> Value {
    let empty = Map::new();
    current["status"] = object
        .as_object()
        .unwrap_or(&empty)
        .get("status")
        .cloned()
        .into();
    current["metadata"]["writeToken"] = object["metadata"]["writeToken"].clone();
    current
}
