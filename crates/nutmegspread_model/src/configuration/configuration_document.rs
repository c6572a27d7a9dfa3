//! The whole configuration of a deployment.

use super::{DomainSettings, RolloutSettings, ServiceSettings, TargetSettings};
use crate::{DomainName, Revision, RolloutId, ServiceName, TargetId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Services, failure domains, targets and planned moves, kept under version control.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigurationDocument {
    /// Number of the accepted document; 0 in a file that was never applied.
    pub revision: Revision,
    /// Failure domains by name.
    pub domains: IndexMap<DomainName, DomainSettings>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceSettings>,
    /// Targets by id.
    pub targets: IndexMap<TargetId, TargetSettings>,
    /// Planned moves between target versions by id.
    pub rollouts: IndexMap<RolloutId, RolloutSettings>,
}
