//! The newest snapshot maps that this node has seen.

use indexmap::IndexMap;
use nutmegspread_model::SnapshotMap;
use std::sync::Arc;

/// The current snapshot of a service and version, and the one before it.
#[derive(Clone, Debug, Default)]
pub struct MapPair {
    /// Newest snapshot.
    pub current: Arc<SnapshotMap>,
    /// Snapshot before the newest, for queries in flight.
    pub previous: Option<Arc<SnapshotMap>>,
}

/// Snapshot maps by object name; a map never reverts to an older snapshot.
#[derive(Clone, Debug, Default)]
pub struct SnapshotTable {
    maps: IndexMap<String, MapPair>,
}

impl SnapshotTable {
    /// Takes a map if it is newer than the known one; returns whether anything changed.
    pub fn apply(&mut self, map: SnapshotMap) -> bool {
        let name = SnapshotMap::object_name(&map.service, &map.version);
        let Some(pair) = self.maps.get_mut(&name) else {
            self.maps.insert(
                name,
                MapPair {
                    current: Arc::new(map),
                    previous: None,
                },
            );
            return true;
        };
        if map.snapshot <= pair.current.snapshot {
            return false;
        }
        let previous = std::mem::replace(&mut pair.current, Arc::new(map));
        pair.previous = Some(previous);
        true
    }

    /// Maps of a service and version.
    pub fn find(&self, service: &str, version: &str) -> Option<&MapPair> {
        self.maps.get(&SnapshotMap::object_name(service, version))
    }
}
