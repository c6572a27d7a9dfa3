//! The key by which a rollout's query counts are grouped.

use nutmegspread_model::{DomainName, RouteName};
use serde::{Deserialize, Serialize};

/// The step, route and failure domain that a pair of counts belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EvidenceKey {
    /// Index of the rollout step, from 0.
    pub step: u32,
    /// Route of the service.
    pub route: RouteName,
    /// Failure domain of the node that received the queries.
    pub domain: DomainName,
}
