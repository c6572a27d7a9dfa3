//! How one query ended.

use nutmegspread_model::{DomainName, RouteName, VersionName};
use std::time::Duration;

/// End of one query, as the node that took it saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryObservation {
    /// Version that served it.
    pub version: VersionName,
    /// Route within the service.
    pub route: RouteName,
    /// Failure domain of the node that took it.
    pub domain: DomainName,
    /// Whether the answer was an error, refused or incomplete because of targets.
    pub failed: bool,
    /// Whether a target shed a part of it.
    pub shed: bool,
    /// Time from arrival to answer.
    pub latency: Duration,
}
