//! Counts of answers by version, which the traffic thread collects for the judgement of rollouts by
//! the control thread.

use crate::ServiceRollout;
use indexmap::IndexMap;
use nutmegspread_tier::{RouteName, ServiceName, StorePosition, VersionCounts};
use std::sync::{Mutex, PoisonError};

#[derive(Debug, Default)]
struct ServiceEvidence {
    version: String,
    /// Tells the orders of the version from each other, as [`ServiceRollout::order`].
    ///
    /// [`ServiceRollout::order`]: crate::ServiceRollout::order
    order: StorePosition,
    routes: IndexMap<RouteName, VersionCounts>,
}

/// This node's counts of answers of the services under rollout, for the old and the new version.
///
/// The traffic thread adds to the counts and the control thread reads them; both hold the lock only
/// briefly.
#[derive(Debug, Default)]
pub struct RolloutLedger {
    services: Mutex<IndexMap<ServiceName, ServiceEvidence>>,
}

impl RolloutLedger {
    /// Applies `change` to the counts of a route. Counts of the service that belong to a rollout of
    /// another version, or to another order of the same one, are dropped first.
    pub fn update(
        &self,
        service: &ServiceName,
        rollout: &ServiceRollout,
        route: &RouteName,
        change: impl FnOnce(&mut VersionCounts),
    ) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let evidence = services.entry(service.clone()).or_default();
        if evidence.version != rollout.version || evidence.order != rollout.order {
            *evidence = ServiceEvidence {
                version: rollout.version.clone(),
                order: rollout.order,
                ..Default::default()
            };
        }
        change(evidence.routes.entry(route.clone()).or_default());
    }

    /// Counts of a service for an order of its rollout of `version`, by route; empty if there are none.
    pub fn counts(
        &self,
        service: &ServiceName,
        version: &str,
        order: StorePosition,
    ) -> Vec<(RouteName, VersionCounts)> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services
            .get(service)
            .filter(|evidence| evidence.version == version && evidence.order == order)
            .map_or_else(Vec::new, |evidence| {
                evidence
                    .routes
                    .iter()
                    .map(|(route, counts)| (route.clone(), *counts))
                    .collect()
            })
    }
}
