//! One target.

use super::{ServingState, TargetLimits};
use crate::{DomainName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// A searcher process: where it runs, what it serves and what it bears.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetSettings {
    /// Service that the target serves.
    pub service: ServiceName,
    /// Failure domain in which it runs.
    pub domain: DomainName,
    /// Version that it runs.
    pub version: VersionName,
    /// IP address and port.
    pub address: String,
    /// Whether operators let the target serve.
    pub state: ServingState,
    /// Limits, where they differ from those of the service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<TargetLimits>,
}
