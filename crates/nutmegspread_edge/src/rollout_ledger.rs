//! What traffic saw of versions that are rolled out, for control.

use indexmap::IndexMap;
use nutmegspread_tier::{RouteName, ServiceName, VersionCounts};
use std::sync::{Mutex, PoisonError};

#[derive(Debug, Default)]
struct ServiceEvidence {
    version: String,
    routes: IndexMap<RouteName, VersionCounts>,
}

/// This node's counts of answers by service that moves to another version.
///
/// Traffic adds to it and control reads it; both hold it for a moment only.
#[derive(Debug, Default)]
pub struct RolloutLedger {
    services: Mutex<IndexMap<ServiceName, ServiceEvidence>>,
}

impl RolloutLedger {
    /// Changes the counts of a route; those of another version of the service are dropped.
    pub fn update(
        &self,
        service: &ServiceName,
        version: &str,
        route: &RouteName,
        change: impl FnOnce(&mut VersionCounts),
    ) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let evidence = services.entry(service.clone()).or_default();
        if evidence.version != version {
            *evidence = ServiceEvidence {
                version: version.to_owned(),
                ..Default::default()
            };
        }
        change(evidence.routes.entry(route.clone()).or_default());
    }

    /// The counts of a service that moves to `version`, by route.
    pub fn counts(&self, service: &ServiceName, version: &str) -> Vec<(RouteName, VersionCounts)> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services
            .get(service)
            .filter(|evidence| evidence.version == version)
            .map_or_else(Vec::new, |evidence| {
                evidence
                    .routes
                    .iter()
                    .map(|(route, counts)| (route.clone(), *counts))
                    .collect()
            })
    }
}
