//! The outcome of one query.

use nutmegspread_model::{DomainName, RouteName, VersionName};
use std::time::Duration;

/// The outcome of one query, as observed by the node that received the query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryObservation {
    /// The version that served the query.
    pub version: VersionName,
    /// Route of the service.
    pub route: RouteName,
    /// Failure domain of the node that received the query.
    pub domain: DomainName,
    /// Whether the query failed, was refused or was answered incompletely because of its targets.
    pub failed: bool,
    /// Whether a target shed at least one request of the query.
    pub shed: bool,
    /// Time from the arrival of the query to its answer.
    pub latency: Duration,
}
