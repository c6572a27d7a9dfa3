//! The newest snapshot maps that this node has received. A snapshot map lists the targets that hold
//! each shard of a snapshot.

use indexmap::IndexMap;
use nutmegspread_model::SnapshotMap;
use std::sync::Arc;

/// Maps of the current and the previous snapshot of one version of a service.
#[derive(Clone, Debug, Default)]
pub struct MapPair {
    /// Map of the newest snapshot.
    pub current: Arc<SnapshotMap>,
    /// Map that was current before, from which queries in flight are still answered.
    pub previous: Option<Arc<SnapshotMap>>,
}

/// Snapshot maps by the name of their platform object, which consists of service and version. The
/// map of an older snapshot never replaces the current one.
#[derive(Clone, Debug, Default)]
pub struct SnapshotTable {
    maps: IndexMap<String, MapPair>,
}

impl SnapshotTable {
    /// Stores a map if its snapshot is newer than the current one; returns whether it was stored.
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

    /// Maps of one version of a service; `None` if none was received.
    pub fn find(&self, service: &str, version: &str) -> Option<&MapPair> {
        self.maps.get(&SnapshotMap::object_name(service, version))
    }
}
