//! Plan of one service of a deployment: its searchers, shards and versions.

use nutmegspread_model::{
    BudgetPolicy, CoveragePolicy, DomainName, ServiceName, ServiceSettings, ShardPlacement,
    SnapshotMap, TargetId, TargetLimits, VersionName,
};
use std::time::Duration;

/// Snapshot that every searcher of a load run holds.
pub const LOAD_SNAPSHOT: u64 = 1;
/// Routes of every service; queries use both in turn.
pub const LOAD_ROUTES: [&str; 2] = ["lookup", "quote"];
/// Median service time of a searcher.
pub const MEDIAN_SERVICE_TIME: Duration = Duration::from_millis(8);
/// Standard deviation of the natural logarithm of a searcher's service time.
pub const SERVICE_TIME_SPREAD: f64 = 0.4;

/// Size, versions and policies of one service.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of searchers of each version.
    pub searchers: u32,
    /// Number of searchers on one VM, all in the VM's failure domain.
    pub searchers_per_vm: u32,
    /// Number of shards of the index; each shard has two replicas.
    pub shards: u32,
    /// Limits of each searcher.
    pub limits: TargetLimits,
    /// Deadlines and minimum coverage of queries.
    pub coverage: CoveragePolicy,
    /// Whether the service runs orders.
    pub orders: bool,
    /// Versions that have searchers; the first one serves all traffic unless a rollout runs.
    pub versions: Vec<VersionName>,
}

/// One searcher of a deployment.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    /// Target id of the searcher.
    pub id: TargetId,
    /// Service of the searcher.
    pub service: ServiceName,
    /// Failure domain of the searcher's VM.
    pub domain: DomainName,
    /// Version of the service that the searcher runs.
    pub version: VersionName,
    /// Limits of the searcher.
    pub limits: TargetLimits,
}

impl ServicePlan {
    /// Searchers of every version; their VMs are assigned to the failure domains in turn.
    pub fn targets(&self, domains: &[DomainName]) -> Vec<TargetPlan> {
        let version_numbers = |version: &VersionName| {
            let version = version.clone();
            (0..self.searchers).map(move |number| (version.clone(), number))
        };
        let searcher_numbers = self.versions.iter().flat_map(version_numbers);
        searcher_numbers
            .map(|(version, number)| TargetPlan {
                id: self.target_id(&version, number),
                service: self.name.clone(),
                domain: domains[self.domain_index(number, domains.len())].clone(),
                version,
                limits: self.limits.clone(),
            })
            .collect()
    }

    /// Snapshot map of one version; the two replicas of a shard are in different failure domains.
    pub fn snapshot_map(&self, version: &VersionName, domains: &[DomainName]) -> SnapshotMap {
        let offset = self.replica_offset(domains.len());
        let placement = |shard: u32| ShardPlacement {
            replicas: vec![
                self.target_id(version, shard),
                self.target_id(version, self.second_replica(shard, offset)),
            ],
        };
        SnapshotMap {
            service: self.name.clone(),
            version: version.clone(),
            snapshot: LOAD_SNAPSHOT,
            shards: (0..self.shards).map(placement).collect(),
        }
    }

    /// Settings of the service for the configuration document.
    pub fn settings(&self) -> ServiceSettings {
        ServiceSettings {
            version: self.versions[0].clone(),
            routes: LOAD_ROUTES.map(Into::into).to_vec(),
            coverage: self.coverage.clone(),
            budget: BudgetPolicy::default(),
            limits: self.limits.clone(),
            orders: self.orders,
            ..Default::default()
        }
    }

    /// Rate at which the queries occupy every slot of one version, in queries per second.
    ///
    /// A sub-request occupies a slot for its service time and the network delay both ways.
    pub fn capacity(&self, network_delay: Duration) -> f64 {
        let mean_service_time =
            MEDIAN_SERVICE_TIME.mul_f64((SERVICE_TIME_SPREAD * SERVICE_TIME_SPREAD / 2.0).exp());
        let occupied_s = (mean_service_time + 2 * network_delay).as_secs_f64();
        let slots = f64::from(self.searchers * self.limits.slots);
        slots / occupied_s / f64::from(self.shards)
    }

    fn target_id(&self, version: &str, number: u32) -> TargetId {
        format!("{}-v{version}-{number:02}", self.name).into()
    }

    fn domain_index(&self, number: u32, domains: usize) -> usize {
        (number / self.searchers_per_vm) as usize % domains
    }

    fn second_replica(&self, shard: u32, offset: u32) -> u32 {
        if self.searchers > self.shards {
            self.shards + (shard + offset) % self.shards
        } else {
            (shard + offset) % self.shards
        }
    }

    /// Smallest offset at which the two replicas of every shard are in different failure domains.
    fn replica_offset(&self, domains: usize) -> u32 {
        let separates_replicas = |offset: &u32| {
            (0..self.shards).all(|shard| {
                let second = self.second_replica(shard, *offset);
                self.domain_index(shard, domains) != self.domain_index(second, domains)
            })
        };
        (0..self.shards).find(separates_replicas).unwrap_or(1)
    }
}
