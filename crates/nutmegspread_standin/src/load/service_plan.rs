//! Size and placement of one service of a deployment.

use nutmegspread_model::{
    BudgetPolicy, CoveragePolicy, DomainName, ServiceName, ServiceSettings, ShardPlacement,
    SnapshotMap, TargetId, TargetLimits, VersionName,
};
use std::time::Duration;

/// Snapshot that every searcher of a load run holds.
pub const LOAD_SNAPSHOT: u64 = 1;
/// Routes of every service.
pub const LOAD_ROUTES: [&str; 2] = ["lookup", "quote"];
/// Median service time of a searcher.
pub const MEDIAN_WORK: Duration = Duration::from_millis(8);
/// Standard deviation of the logarithm of the service time.
pub const WORK_SPREAD: f64 = 0.4;

/// One service: how many searchers and shards it has, and what it promises.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name.
    pub name: ServiceName,
    /// Searchers of each version.
    pub searchers: u32,
    /// Searchers on one VM; they share its failure domain.
    pub searchers_a_vm: u32,
    /// Shards of the index; each has two replicas.
    pub shards: u32,
    /// Limits of each searcher.
    pub limits: TargetLimits,
    /// Deadlines and least coverage.
    pub coverage: CoveragePolicy,
    /// Whether it takes orders.
    pub orders: bool,
    /// Versions that have searchers; the first one serves.
    pub versions: Vec<VersionName>,
}

/// One searcher of a deployment.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    /// Id.
    pub id: TargetId,
    /// Service.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Version.
    pub version: VersionName,
    /// Limits.
    pub limits: TargetLimits,
}

impl ServicePlan {
    /// Searchers of every version, spread over the failure domains VM by VM.
    pub fn targets(&self, domains: &[DomainName]) -> Vec<TargetPlan> {
        let numbered = |version: &VersionName| {
            let version = version.clone();
            (0..self.searchers).map(move |number| (version.clone(), number))
        };
        let all = self.versions.iter().flat_map(numbered);
        all.map(|(version, number)| TargetPlan {
            id: self.target_id(&version, number),
            service: self.name.clone(),
            domain: domains[self.domain_index(number, domains.len())].clone(),
            version,
            limits: self.limits.clone(),
        })
        .collect()
    }

    /// Snapshot map of one version; the replicas of a shard lie in different failure domains.
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

    /// Settings in the configuration document.
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

    /// Queries a second at which every slot of one version is taken.
    ///
    /// A slot is taken for the work and the way there and back.
    pub fn capacity(&self, network_delay: Duration) -> f64 {
        let mean_work = MEDIAN_WORK.mul_f64((WORK_SPREAD * WORK_SPREAD / 2.0).exp());
        let held = (mean_work + 2 * network_delay).as_secs_f64();
        let slots = f64::from(self.searchers * self.limits.slots);
        slots / held / f64::from(self.shards)
    }

    fn target_id(&self, version: &str, number: u32) -> TargetId {
        format!("{}-v{version}-{number:02}", self.name).into()
    }

    fn domain_index(&self, number: u32, domains: usize) -> usize {
        (number / self.searchers_a_vm) as usize % domains
    }

    fn second_replica(&self, shard: u32, offset: u32) -> u32 {
        if self.searchers > self.shards {
            self.shards + (shard + offset) % self.shards
        } else {
            (shard + offset) % self.shards
        }
    }

    /// Least offset that puts both replicas of every shard into different failure domains.
    fn replica_offset(&self, domains: usize) -> u32 {
        let is_apart = |offset: &u32| {
            (0..self.shards).all(|shard| {
                let second = self.second_replica(shard, *offset);
                self.domain_index(shard, domains) != self.domain_index(second, domains)
            })
        };
        (0..self.shards).find(is_apart).unwrap_or(1)
    }
}
