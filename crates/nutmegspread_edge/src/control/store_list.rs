//! Results of listing and of watching the objects of one kind.

use nutmegspread_platform::{ObjectChange, StoreObject};
use nutmegspread_tier::StatedEra;

/// Result of listing the objects of one kind.
#[derive(Clone, Debug)]
pub struct StoreList {
    /// The objects, in the order of the store.
    pub objects: Vec<StoreObject>,
    /// What the store states about its era.
    pub era: StatedEra,
    /// Revision from which a watch has to continue.
    pub revision: u64,
    /// Whether the list has all objects. It ends early where a page names none of its objects.
    pub is_complete: bool,
}

/// Result of watching the objects of one kind.
#[derive(Clone, Debug)]
pub struct StoreChanges {
    /// Changes in the order in which they were made.
    pub changes: Vec<ObjectChange>,
    /// What the store states about its era.
    pub era: StatedEra,
    /// Revision with which the next watch continues.
    pub revision: u64,
}
