//! An object of a list that cannot be decoded.

use nutmegspread_model::ResourceVersion;

/// An object of a list that cannot be decoded. Name and version are decoded separately from the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreadableObject {
    /// Name of the object, if it can be read.
    pub name: Option<String>,
    /// Version of the object, if it can be read.
    pub resource_version: Option<ResourceVersion>,
    /// Why the object cannot be decoded.
    pub reason: String,
}
