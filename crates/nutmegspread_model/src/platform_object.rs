//! Common structure of all objects that the platform stores.

use crate::ResourceVersion;
use serde::{Deserialize, Serialize};

/// Name, version and write token of a stored object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ObjectMetadata {
    /// Name of the object, unique within its kind.
    pub name: String,
    /// Version that the platform changes on every write; absent before the first write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<ResourceVersion>,
    /// Token of the last write. A writer that gets no answer reads the object, and recognises by
    /// the token whether its write took effect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write_token: Option<String>,
}

/// An object that the platform stores: its kind, metadata, desired state and observed state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformObject<T> {
    /// Kind of the object, for example `Configuration`.
    pub kind: String,
    /// Name, version and write token.
    pub metadata: ObjectMetadata,
    /// Desired state.
    pub spec: T,
    /// Observed state; `null` if it was never written.
    #[serde(default)]
    pub status: serde_json::Value,
}
