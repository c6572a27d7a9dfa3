//! Events that a watch of the platform's objects returns.

use nutmegspread_model::{PlatformObject, ResourceVersion};

/// A change of an object, or a bookmark that shows that the watch still works.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent<T> {
    /// The object was created.
    Added(PlatformObject<T>),
    /// The object was replaced.
    Modified(PlatformObject<T>),
    /// The object was deleted; this is its last state.
    Deleted(PlatformObject<T>),
    /// All changes up to this version have been returned.
    Bookmark(ResourceVersion),
}
