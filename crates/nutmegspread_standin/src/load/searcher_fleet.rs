//! All searcher stand-ins of a deployment, which run as tasks of one process.

use super::deployment_plan::DeploymentPlan;
use super::service_plan::{LOAD_SNAPSHOT, MEDIAN_SERVICE_TIME, SERVICE_TIME_SPREAD, TargetPlan};
use crate::searcher::{SearcherError, SearcherSettings, SearcherStandin};
use indexmap::IndexMap;
use nutmegspread_model::{ConfigurationDocument, TargetId, TargetSettings};
use std::time::Duration;

/// Running searchers by target id.
pub struct SearcherFleet {
    searchers: IndexMap<TargetId, FleetSearcher>,
}

/// One running searcher and its plan.
pub struct FleetSearcher {
    /// Service, version, failure domain and limits of the searcher.
    pub plan: TargetPlan,
    /// Running stand-in of the searcher.
    pub standin: SearcherStandin,
}

impl SearcherFleet {
    /// Starts all searchers of a deployment on free ports of the loopback address.
    ///
    /// # Errors
    /// When a searcher cannot listen.
    pub async fn start(plan: &DeploymentPlan, seed: u64) -> Result<Self, SearcherError> {
        let mut searchers = IndexMap::new();
        for (number, target) in plan.targets().into_iter().enumerate() {
            let settings = searcher_settings(&target, plan.network_delay, seed + number as u64);
            let standin = SearcherStandin::start(settings).await?;
            searchers.insert(
                target.id.clone(),
                FleetSearcher {
                    plan: target,
                    standin,
                },
            );
        }
        Ok(Self { searchers })
    }

    /// All searchers of the deployment.
    pub fn searchers(&self) -> impl Iterator<Item = &FleetSearcher> {
        self.searchers.values()
    }

    /// Searchers of one version of a service.
    pub fn searchers_of<'a>(
        &'a self,
        service: &'a str,
        version: &'a str,
    ) -> impl Iterator<Item = &'a FleetSearcher> {
        self.searchers()
            .filter(move |searcher| *searcher.plan.service == *service)
            .filter(move |searcher| *searcher.plan.version == *version)
    }

    /// Searchers in a failure domain.
    pub fn searchers_in<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a FleetSearcher> {
        self.searchers()
            .filter(move |searcher| *searcher.plan.domain == *domain)
    }

    /// Searcher with this target id.
    pub fn searcher(&self, target: &str) -> Option<&FleetSearcher> {
        self.searchers.get(target)
    }

    /// Adds every searcher, with its address, to a configuration document.
    pub fn add_targets(&self, document: &mut ConfigurationDocument) {
        for searcher in self.searchers() {
            let settings = TargetSettings {
                service: searcher.plan.service.clone(),
                domain: searcher.plan.domain.clone(),
                version: searcher.plan.version.clone(),
                address: searcher.standin.address().to_string(),
                ..Default::default()
            };
            document.targets.insert(searcher.plan.id.clone(), settings);
        }
    }

    /// Removes all faults and clears all records except the executions of orders.
    pub fn reset(&self) {
        for searcher in self.searchers() {
            searcher.standin.faults().clear();
            searcher.standin.reset_records();
        }
    }

    /// Number of requests that arrived at any searcher, including shed ones.
    pub fn arrived(&self) -> u64 {
        self.searchers()
            .map(|searcher| searcher.standin.counters().arrived)
            .sum()
    }

    /// Whether any searcher has started a search for a request id.
    pub fn has_started(&self, request_id: &str) -> bool {
        self.searchers()
            .any(|searcher| searcher.standin.has_started(request_id))
    }

    /// Number of times that the searchers executed the order with an idempotency key.
    pub fn executions(&self, key: &str) -> u32 {
        let executions_of = |searcher: &FleetSearcher| {
            searcher
                .standin
                .counters()
                .executions
                .get(key)
                .copied()
                .unwrap_or(0)
        };
        self.searchers().map(executions_of).sum()
    }

    /// Longest time that any searcher of a service took, by request id.
    pub fn slowest_times(&self, service: &str) -> IndexMap<String, Duration> {
        let mut slowest_times: IndexMap<String, Duration> = IndexMap::new();
        for searcher in self
            .searchers()
            .filter(|searcher| *searcher.plan.service == *service)
        {
            for (request_id, time) in searcher.standin.requests() {
                let longest = slowest_times.entry(request_id.to_string()).or_default();
                *longest = time.max(*longest);
            }
        }
        slowest_times
    }

    /// Stops all searchers.
    pub async fn close(self) {
        for (_, searcher) in self.searchers {
            searcher.standin.close().await;
        }
    }
}

fn searcher_settings(target: &TargetPlan, delay: Duration, seed: u64) -> SearcherSettings {
    SearcherSettings {
        service: target.service.clone(),
        version: target.version.clone(),
        slots: target.limits.slots,
        connections: target.limits.connections,
        connection_cost: target.limits.connection_cost,
        cold_slots: target.limits.cold_slots,
        warm_after: target.limits.warm_after,
        median_service_time: MEDIAN_SERVICE_TIME,
        service_time_spread: SERVICE_TIME_SPREAD,
        network_delay: delay,
        snapshots: [LOAD_SNAPSHOT].into(),
        seed,
        ..Default::default()
    }
}
