//! The envelope of every object that the platform's service keeps.

use crate::ResourceVersion;
use serde::{Deserialize, Serialize};

/// Name and version tag of a stored object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ObjectMetadata {
    /// Name, unique within a kind.
    pub name: String,
    /// Version tag that the platform changes on every write; absent before the first one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<ResourceVersion>,
    /// Token of the write that made this state, so that a lost answer can be resolved by reading.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write_token: Option<String>,
}

/// One object: kind, metadata, wanted state, and observed state apart.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformObject<T> {
    /// Kind, for example `Configuration`.
    pub kind: String,
    /// Name and version tag.
    pub metadata: ObjectMetadata,
    /// Wanted state.
    pub spec: T,
    /// Observed state; `null` when never written.
    #[serde(default)]
    pub status: serde_json::Value,
}
