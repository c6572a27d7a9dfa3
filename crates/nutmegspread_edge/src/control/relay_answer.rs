//! What one node tells another of the store's objects.

use serde::{Deserialize, Serialize};

/// One object, or the name of a removed one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayObject {
    /// Name within its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Its contents as JSON text; nothing for a removed object.
    pub contents: Option<String>,
    /// The state that the system wrote beside the contents, as JSON text.
    #[serde(default)]
    pub status: Option<String>,
}

/// The changes of one kind of object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// Revision of the store that the answer reaches.
    pub revision: u64,
    /// Whether these are all objects and not only the changes.
    pub is_complete: bool,
    /// The objects.
    pub objects: Vec<RelayObject>,
    /// Milliseconds since the store came back, where it was away.
    pub returned_ms: Option<u64>,
}
