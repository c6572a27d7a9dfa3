//! Events of a watch.

use nutmegspread_model::{PlatformObject, ResourceVersion};

/// One change of an object, or a sign that the watch is alive.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent<T> {
    /// The object was created.
    Added(PlatformObject<T>),
    /// The object was replaced.
    Modified(PlatformObject<T>),
    /// The object was deleted; this is its last state.
    Deleted(PlatformObject<T>),
    /// Nothing changed up to this version.
    Bookmark(ResourceVersion),
}
