//! Settings of a failure domain.

use super::ServingState;
use crate::RegionName;
use serde::{Deserialize, Serialize};

/// A set of VMs that fail together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DomainSettings {
    /// Region of the domain; empty if the deployment has only one region.
    pub region: RegionName,
    /// Whether the targets of the domain may get new work.
    pub state: ServingState,
}
