//! What is wrong in a list of tenants.

use crate::TenantName;
use thiserror::Error;

/// Fault in a list of tenants. It names no key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TenantFault {
    /// An entry cannot be read and is left out.
    #[error("entry {entry} of the tenants is left out: {reason}")]
    Unreadable {
        /// Position of the entry in the list, from 0.
        entry: usize,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// Two tenants hold the same key, which is refused.
    #[error("tenants {first:?} and {second:?} hold the same key, which is refused")]
    SharedKey {
        /// Tenant that comes first in the list.
        first: TenantName,
        /// The other tenant.
        second: TenantName,
    },
}

impl TenantFault {
    /// Short name of the kind of fault, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Unreadable { .. } => "unreadable",
            Self::SharedKey { .. } => "shared_key",
        }
    }
}
