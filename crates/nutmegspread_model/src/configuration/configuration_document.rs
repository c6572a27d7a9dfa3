//! The whole configuration of a deployment.

use super::{DomainSettings, RolloutSettings, ServiceSettings, TargetSettings};
use crate::{DomainName, Revision, RolloutId, ServiceName, TargetId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Services, failure domains, targets and rollouts of a deployment.
///
/// Operators keep the document under version control and apply it through any node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigurationDocument {
    /// Number that the document got when it was applied; 0 in a file that was never applied.
    pub revision: Revision,
    /// Failure domains by name.
    pub domains: IndexMap<DomainName, DomainSettings>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceSettings>,
    /// Targets by id.
    pub targets: IndexMap<TargetId, TargetSettings>,
    /// Rollouts, which move traffic from one target version to another, by id.
    pub rollouts: IndexMap<RolloutId, RolloutSettings>,
}
