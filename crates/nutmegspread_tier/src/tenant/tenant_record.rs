//! One tenant, as decisions on requests need it.

use crate::TenantName;

/// A tenant of the configuration, without its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantRecord {
    /// Name of the tenant.
    pub name: TenantName,
    /// Priority of the tenant's requests, which replaces that of the route; 0 is the most urgent.
    pub priority: Option<u32>,
}
