//! Stores versioned objects and the history of their changes.

use indexmap::IndexMap;
use nutmegspread_model::ResourceVersion;
use serde_json::{Map, Value, json};
use std::borrow::Cow;
use std::collections::VecDeque;

/// Number of recent changes that are kept for watches and stale reads.
const MAX_HISTORY_EVENTS: usize = 4096;
/// Largest stored object, in bytes.
pub(super) const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// Kind and name of an object.
type ObjectKey = (String, String);

/// Why an object could not be read, written or watched.
///
/// Answers and watches contain the name of the variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreError {
    /// The object's version is not the expected one, or an object of this name exists already.
    Conflict,
    /// The object does not exist.
    NotFound,
    /// The object is larger than [`MAX_OBJECT_BYTES`].
    TooLarge,
    /// The object has no metadata or no name, or its name is not the one in the request's path.
    Invalid,
    /// Changes after the requested version are no longer in the history.
    Gone,
}

/// Part of an object that a write replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ObjectPart {
    /// All fields of the object except the status.
    Spec,
    /// The status, together with the token of the write.
    Status,
}

/// One change of an object.
#[derive(Clone, Debug)]
pub(super) struct StoreEvent {
    /// Version of the store after the change.
    pub version: ResourceVersion,
    /// Type of the change: `ADDED`, `MODIFIED` or `DELETED`.
    pub event: &'static str,
    /// Object after the change; for a deletion, its last contents with the version of the deletion.
    pub object: Value,
    key: ObjectKey,
    /// Object before the change; `None` if the change created it.
    before: Option<Value>,
}

/// All objects and their recent changes.
#[derive(Debug, Default)]
pub(super) struct ObjectStore {
    version: ResourceVersion,
    objects: IndexMap<ObjectKey, Value>,
    history: VecDeque<StoreEvent>,
}

impl ObjectStore {
    /// Version of the store, which is also that of the object changed last.
    ///
    /// Each change increases it by 1.
    pub fn version(&self) -> ResourceVersion {
        self.version
    }

    /// Returns an object as it was `versions_ago` versions ago, or `None` if it did not exist then.
    pub fn fetch(&self, kind: &str, name: &str, versions_ago: u64) -> Option<Value> {
        self.objects_at(versions_ago)
            .get(&key_of(kind, name))
            .cloned()
    }

    /// Builds the body of a list answer: all objects of a kind as they were `versions_ago` versions
    /// ago.
    pub fn list(&self, kind: &str, versions_ago: u64) -> Value {
        let objects = self.objects_at(versions_ago);
        let items: Vec<&Value> = objects
            .iter()
            .filter(|(key, _)| key.0 == kind)
            .map(|(_, object)| object)
            .collect();
        let version = self.version.saturating_sub(versions_ago);
        json!({ "metadata": { "resourceVersion": version }, "items": items })
    }

    /// Creates an object and returns it with its new version.
    pub fn create(&mut self, kind: &str, object: Value) -> Result<Value, StoreError> {
        let name = name_of(&object).ok_or(StoreError::Invalid)?;
        let key = key_of(kind, &name);
        if self.objects.contains_key(&key) {
            return Err(StoreError::Conflict);
        }
        self.put("ADDED", key, object)
    }

    /// Replaces a part of an object if the stored version is still the one in `object`.
    ///
    /// Returns the whole object with its new version.
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

    /// Deletes an object and returns its last contents.
    ///
    /// If `version` is given, the stored object must still have this version.
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

    /// Returns the changes to objects of a kind after a version, oldest first.
    pub fn events_after(
        &self,
        kind: &str,
        version: ResourceVersion,
    ) -> Result<Vec<StoreEvent>, StoreError> {
        let oldest = self
            .history
            .front()
            .map_or(self.version + 1, |event| event.version);
        if version + 1 < oldest {
            return Err(StoreError::Gone);
        }
        let later = self
            .history
            .iter()
            .rev()
            .take_while(|event| event.version > version);
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
        if object.to_string().len() > MAX_OBJECT_BYTES {
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
        if self.history.len() > MAX_HISTORY_EVENTS {
            self.history.pop_front();
        }
    }

    /// All objects as they were `versions_ago` versions ago, as far as the history reaches.
    fn objects_at(&self, versions_ago: u64) -> Cow<'_, IndexMap<ObjectKey, Value>> {
        if versions_ago == 0 {
            return Cow::Borrowed(&self.objects);
        }
        let mut objects = self.objects.clone();
        let past_version = self.version.saturating_sub(versions_ago);
        for event in self
            .history
            .iter()
            .rev()
            .take_while(|event| event.version > past_version)
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

/// Returns `current` with the status and the write token of `object`.
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
