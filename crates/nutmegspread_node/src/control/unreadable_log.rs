//! Logs and counts objects of the platform that cannot be decoded.

use crate::traffic::TrafficState;
use indexmap::IndexMap;
use nutmegspread_model::ResourceVersion;
use nutmegspread_wire::platform::{ObjectKind, UnreadableObject};
use std::sync::Arc;

/// Largest number of objects of a kind that are logged; bounds the memory that a faulty writer can
/// take.
const MAX_LOGGED: usize = 64;

/// Logs and counts objects of one kind that cannot be decoded, each once per version.
pub struct UnreadableLog {
    kind: ObjectKind,
    traffic: Arc<TrafficState>,
    /// Version of each logged object, by its name, or by the reason if the name cannot be read.
    logged: IndexMap<String, Option<ResourceVersion>>,
}

impl UnreadableLog {
    /// Creates a log that has no entries and counts in the metrics of `traffic`.
    pub fn new(kind: ObjectKind, traffic: Arc<TrafficState>) -> Self {
        Self {
            kind,
            traffic,
            logged: IndexMap::new(),
        }
    }

    /// Logs and counts the objects that were left out of a list.
    pub fn record(&mut self, objects: &[UnreadableObject]) {
        for object in objects {
            let key = object.name.as_ref().unwrap_or(&object.reason);
            let is_known = self.logged.get(key) == Some(&object.resource_version);
            let is_full = self.logged.len() >= MAX_LOGGED && !self.logged.contains_key(key);
            if is_known || is_full {
                continue;
            }
            self.logged.insert(key.clone(), object.resource_version);
            self.traffic.count("platform.unreadable");
            log::warn!(kind = self.kind.as_str(), name = object.name.as_deref(),
                version = object.resource_version, reason = object.reason.as_str();
                "skipped a platform object that cannot be decoded");
        }
    }
}
