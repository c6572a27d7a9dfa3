//! What evidence is kept by.

use nutmegspread_model::{DomainName, RouteName};
use serde::{Deserialize, Serialize};

/// Step, route and failure domain to which counts belong.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EvidenceKey {
    /// Step of the rollout, from 0.
    pub step: u32,
    /// Route within the service.
    pub route: RouteName,
    /// Failure domain of the node that took the queries.
    pub domain: DomainName,
}
