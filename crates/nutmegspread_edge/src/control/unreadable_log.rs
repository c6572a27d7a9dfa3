//! Logs and counts objects of the store that cannot be decoded.

use crate::SharedState;
use indexmap::IndexMap;
use nutmegspread_platform::StoreObject;
use std::sync::Arc;

/// Largest number of unreadable objects that are logged; each is logged once per revision.
const MAX_LOGGED_UNREADABLE: usize = 64;

/// Logs and counts objects of the store that cannot be decoded, each once per revision.
#[derive(Debug)]
pub struct UnreadableLog {
    shared: Arc<SharedState>,
    /// Last logged revision of each object, by object name.
    logged: IndexMap<String, u64>,
}

impl UnreadableLog {
    /// Creates a log without entries that counts in the metrics of `shared`.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            logged: IndexMap::new(),
        }
    }

    /// Logs and counts an object that cannot be decoded.
    pub fn record(&mut self, object: &StoreObject, reason: &str) {
        let known = self.logged.get(&object.name);
        if known == Some(&object.revision) || self.logged.len() >= MAX_LOGGED_UNREADABLE {
            return;
        }
        self.logged.insert(object.name.clone(), object.revision);
        self.shared.metrics.count("store_unreadable", "entry");
        log::warn!(event = "unreadable", object = object.name.as_str(), revision = object.revision,
            reason; "skipped an object of the store that cannot be decoded");
    }
}
