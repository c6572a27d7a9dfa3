//! Answer to a relay call: the store's objects as one node sends them to another.

use nutmegspread_tier::StorePosition;
use serde::{Deserialize, Serialize};

/// One object of the store, or the name of a removed one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayObject {
    /// Name, unique within the object's kind.
    pub name: String,
    /// Revision of the last change of the object; for a removed object, the revision of the answer.
    pub revision: u64,
    /// Contents as JSON text; `None` if the object was removed.
    pub contents: Option<String>,
    /// State that the nodes wrote beside the contents, as JSON text.
    #[serde(default)]
    pub status: Option<String>,
    /// Last contents of a removed object, if they are known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last: Option<String>,
}

/// All objects of one kind, or the changes after the revision that the caller knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// Era of the store that the answer is of; 0 if the store states none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub era: u64,
    /// Store revision of the last change that the caller knows of this kind after applying the
    /// answer.
    pub revision: u64,
    /// Whether `objects` is a complete list; otherwise it holds only the changes.
    pub is_complete: bool,
    /// Objects created, changed or removed; a complete list holds no removed objects.
    pub objects: Vec<RelayObject>,
    /// Milliseconds since the store last confirmed these objects; `None` if it never did.
    pub age_ms: Option<u64>,
    /// Milliseconds since the store answered again after an outage; `None` if there was none.
    pub returned_ms: Option<u64>,
}

impl RelayAnswer {
    /// Position of the last change that the caller knows after applying the answer.
    pub fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.revision,
        }
    }
}

fn is_zero(era: &u64) -> bool {
    *era == 0
}
