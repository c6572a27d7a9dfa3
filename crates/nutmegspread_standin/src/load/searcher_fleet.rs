//! All searcher stand-ins of a deployment, as tasks of one process.

use super::deployment_plan::DeploymentPlan;
use super::service_plan::{LOAD_SNAPSHOT, MEDIAN_WORK, TargetPlan, WORK_SPREAD};
use crate::searcher::{SearcherError, SearcherSettings, SearcherStandin};
use indexmap::IndexMap;
use nutmegspread_model::{ConfigurationDocument, TargetId, TargetSettings};
use std::time::Duration;

/// Running searchers by target id.
pub struct SearcherFleet {
    searchers: IndexMap<TargetId, FleetMember>,
}

/// One running searcher and its place.
pub struct FleetMember {
    /// Its place in the deployment.
    pub plan: TargetPlan,
    /// The stand-in.
    pub standin: SearcherStandin,
}

impl SearcherFleet {
    /// Starts all searchers of a deployment on free ports of the loopback address.
    ///
    /// # Errors
    /// When one cannot listen.
    pub async fn start(plan: &DeploymentPlan, seed: u64) -> Result<Self, SearcherError> {
        let mut searchers = IndexMap::new();
        for (number, target) in plan.targets().into_iter().enumerate() {
            let settings = searcher_settings(&target, plan.network_delay, seed + number as u64);
            let standin = SearcherStandin::start(settings).await?;
            searchers.insert(
                target.id.clone(),
                FleetMember {
                    plan: target,
                    standin,
                },
            );
        }
        Ok(Self { searchers })
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &FleetMember> {
        self.searchers.values()
    }

    /// Members of one version of a service.
    pub fn members_of<'a>(
        &'a self,
        service: &'a str,
        version: &'a str,
    ) -> impl Iterator<Item = &'a FleetMember> {
        self.members()
            .filter(move |member| *member.plan.service == *service)
            .filter(move |member| *member.plan.version == *version)
    }

    /// Members in a failure domain.
    pub fn members_in<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a FleetMember> {
        self.members()
            .filter(move |member| *member.plan.domain == *domain)
    }

    /// One member.
    pub fn member(&self, target: &str) -> Option<&FleetMember> {
        self.searchers.get(target)
    }

    /// Adds every searcher, with its address, to a configuration document.
    pub fn add_targets(&self, document: &mut ConfigurationDocument) {
        for member in self.members() {
            let settings = TargetSettings {
                service: member.plan.service.clone(),
                domain: member.plan.domain.clone(),
                version: member.plan.version.clone(),
                address: member.standin.address().to_string(),
                ..Default::default()
            };
            document.targets.insert(member.plan.id.clone(), settings);
        }
    }

    /// Takes every fault away and forgets all records but the executions of orders.
    pub fn reset(&self) {
        for member in self.members() {
            member.standin.faults().clear();
            member.standin.reset_records();
        }
    }

    /// Searches that arrived at any searcher, those refused included.
    pub fn arrived(&self) -> u64 {
        self.members()
            .map(|member| member.standin.counters().arrived)
            .sum()
    }

    /// Whether any searcher started a search of a request.
    pub fn has_started(&self, request: &str) -> bool {
        self.members()
            .any(|member| member.standin.has_started(request))
    }

    /// Executions of an order key over all searchers.
    pub fn executions(&self, key: &str) -> u32 {
        let count = |member: &FleetMember| {
            member
                .standin
                .counters()
                .executions
                .get(key)
                .copied()
                .unwrap_or(0)
        };
        self.members().map(count).sum()
    }

    /// Longest time that a searcher of a service took for each request.
    pub fn slowest_times(&self, service: &str) -> IndexMap<String, Duration> {
        let mut slowest: IndexMap<String, Duration> = IndexMap::new();
        for member in self
            .members()
            .filter(|member| *member.plan.service == *service)
        {
            for (request, time) in member.standin.requests() {
                let longest = slowest.entry(request.to_string()).or_default();
                *longest = time.max(*longest);
            }
        }
        slowest
    }

    /// Stops all searchers.
    pub async fn close(self) {
        for (_, member) in self.searchers {
            member.standin.close().await;
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
        median_service_time: MEDIAN_WORK,
        service_time_spread: WORK_SPREAD,
        network_delay: delay,
        snapshots: [LOAD_SNAPSHOT].into(),
        seed,
        ..Default::default()
    }
}
