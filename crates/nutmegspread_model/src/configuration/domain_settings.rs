//! One failure domain.

use super::ServingState;
use crate::RegionName;
use serde::{Deserialize, Serialize};

/// A set of VMs that fail together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DomainSettings {
    /// Region in which the domain lies; empty when there is only one.
    pub region: RegionName,
    /// Whether operators let the domain serve.
    pub state: ServingState,
}
