//! All objects of one kind at one point of the platform's history.

use nutmegspread_model::{PlatformObject, ResourceVersion};

/// Answer to a list call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectList<T> {
    /// The objects, in the platform's order.
    pub items: Vec<PlatformObject<T>>,
    /// Version of the whole list; a watch from here misses nothing.
    pub resource_version: ResourceVersion,
}
