//! Settings of a target.

use super::{ServingState, TargetLimits};
use crate::{DomainName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// A target, which is one searcher process: its service, failure domain, version, address and
/// limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetSettings {
    /// Service to which the target belongs.
    pub service: ServiceName,
    /// Failure domain in which the target runs.
    pub domain: DomainName,
    /// Version that the target runs.
    pub version: VersionName,
    /// IP address and port at which the target listens.
    pub address: String,
    /// Whether the target may get new work.
    pub state: ServingState,
    /// Limits of this target; `None` if those of the service apply.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<TargetLimits>,
}
