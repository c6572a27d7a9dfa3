//! Result of listing the objects of one kind.

use nutmegspread_model::{PlatformObject, ResourceVersion};

/// All objects of one kind at one point in the platform's history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectList<T> {
    /// The objects, in the order in which the platform returned them.
    pub items: Vec<PlatformObject<T>>,
    /// Version of the list; a watch that starts at this version gets every later change.
    pub resource_version: ResourceVersion,
}
