//! Whether a request may pass, by its route and key.

use crate::tenant::confirmation_age::ConfirmationAge;
use crate::tenant::tenant_keys::TenantKeys;
use crate::tenant::tenant_record::TenantRecord;
use std::sync::Arc;
use std::time::Duration;

/// Decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AccessDecision {
    /// The request may pass and belongs to no tenant.
    Open,
    /// The request may pass and belongs to this tenant.
    Tenant(Arc<TenantRecord>),
    /// The key is refused by the configuration.
    Reject,
    /// Another configuration may be in force, which decides otherwise.
    Unsure,
}

/// Decides by its route and key whether a request may pass.
#[derive(Clone, Debug)]
pub struct AccessRule {
    /// Time since the last confirmation up to which the configuration counts as the one in force.
    pub confirmed_within: Duration,
}

impl Default for AccessRule {
    /// Nodes learn of a confirmation each second; a node that has missed three is cut off.
    fn default() -> Self {
        Self {
            confirmed_within: Duration::from_secs(3),
        }
    }
}

impl AccessRule {
    /// Decides on a request with `key` on a route that may be public. `tenants` is `None` if the
    /// configuration has no tenants, and `confirmation` if the store has not confirmed it yet.
    ///
    /// A known key remains accepted however long ago the confirmation was, so that an outage of the
    /// store stops no tenant. The exception is a node that has just started: its peers may be cut off
    /// and know less than it knew before, so without a recent confirmation it accepts no key.
    pub fn decide(
        &self,
        is_public: bool,
        tenants: Option<&TenantKeys>,
        key: Option<&str>,
        confirmation: Option<ConfirmationAge>,
    ) -> AccessDecision {
        let Some(tenants) = tenants.filter(|_| !is_public) else {
            return AccessDecision::Open;
        };
        match key.and_then(|key| tenants.find(key)) {
            Some(tenant) if self.accepts_known_keys(confirmation) => {
                AccessDecision::Tenant(Arc::clone(tenant))
            }
            None if self.is_recent(confirmation) => AccessDecision::Reject,
            Some(_) | None => AccessDecision::Unsure,
        }
    }

    /// Whether a key of a tenant is accepted after `confirmation`. If not, every request that needs a key
    /// is refused.
    pub fn accepts_known_keys(&self, confirmation: Option<ConfirmationAge>) -> bool {
        self.is_recent(confirmation)
            || confirmation.is_some_and(|confirmation| confirmation.is_since_start)
    }

    fn is_recent(&self, confirmation: Option<ConfirmationAge>) -> bool {
        confirmation.is_some_and(|confirmation| confirmation.age < self.confirmed_within)
    }
}
