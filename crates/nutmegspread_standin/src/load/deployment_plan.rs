//! Services, failure domains and sizes of the measured deployments.

use super::service_plan::{ServicePlan, TargetPlan};
use nutmegspread_model::{
    ConfigurationDocument, CoveragePolicy, DomainName, DomainSettings, TargetLimits,
};
use std::str::FromStr;
use std::time::Duration;

/// A deployment whose size a load run reproduces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeploymentKind {
    /// Four failure domains; an answer waits for every shard until the hard deadline.
    Guild,
    /// Three failure domains; an answer may be partial from the soft deadline on.
    Kloofglas,
}

/// Services and failure domains of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Names of the failure domains.
    pub domains: Vec<DomainName>,
    /// One-way delay between a node and a searcher.
    pub network_delay: Duration,
    /// Services; queries are sent to the first one only.
    pub services: Vec<ServicePlan>,
}

impl DeploymentKind {
    /// Name on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Guild => "guild",
            Self::Kloofglas => "kloofglas",
        }
    }

    /// Builds the plan of the deployment.
    pub fn plan(self) -> DeploymentPlan {
        match self {
            Self::Guild => guild_plan(),
            Self::Kloofglas => kloofglas_plan(),
        }
    }
}

impl FromStr for DeploymentKind {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "guild" => Ok(Self::Guild),
            "kloofglas" => Ok(Self::Kloofglas),
            _ => Err(format!(
                "unknown deployment {name:?}; expected guild or kloofglas"
            )),
        }
    }
}

impl DeploymentPlan {
    /// Searchers of all services.
    pub fn targets(&self) -> Vec<TargetPlan> {
        self.services
            .iter()
            .flat_map(|service| service.targets(&self.domains))
            .collect()
    }

    /// Configuration document without targets.
    ///
    /// The addresses of the targets are known only after the searchers have started; see
    /// [`SearcherFleet::add_targets`](super::SearcherFleet::add_targets).
    pub fn document(&self) -> ConfigurationDocument {
        let domain = |name: &DomainName| (name.clone(), DomainSettings::default());
        let service = |plan: &ServicePlan| (plan.name.clone(), plan.settings());
        ConfigurationDocument {
            domains: self.domains.iter().map(domain).collect(),
            services: self.services.iter().map(service).collect(),
            ..Default::default()
        }
    }
}

fn guild_plan() -> DeploymentPlan {
    let coverage = CoveragePolicy {
        soft_deadline: Duration::from_millis(150),
        hard_deadline: Duration::from_millis(500),
        minimum_coverage: 1.0,
    };
    let costly_limits = costly_connection_limits(2, 25);
    let cheap_limits = cheap_connection_limits(3, 100);
    DeploymentPlan {
        domains: numbered_domains("northwest", 4),
        network_delay: Duration::from_micros(1500),
        services: vec![
            ServicePlan {
                versions: vec!["1".into(), "2".into()],
                ..two_per_vm_service("counter-desk", 20, &costly_limits, &coverage)
            },
            two_per_vm_service("catalog", 30, &costly_limits, &coverage),
            ServicePlan {
                orders: true,
                ..one_per_vm_service("shop-floor", 7, &cheap_limits, &coverage)
            },
            one_per_vm_service("billing", 4, &cheap_limits, &coverage),
        ],
    }
}

fn kloofglas_plan() -> DeploymentPlan {
    let coverage = CoveragePolicy {
        soft_deadline: Duration::from_millis(60),
        hard_deadline: Duration::from_millis(250),
        minimum_coverage: 0.5,
    };
    let costly_limits = costly_connection_limits(3, 30);
    let cheap_limits = cheap_connection_limits(6, 50);
    DeploymentPlan {
        domains: numbered_domains("gauteng", 3),
        network_delay: Duration::from_micros(500),
        services: vec![
            ServicePlan {
                versions: vec!["1".into(), "2".into()],
                ..two_per_vm_service("quote-builder", 20, &costly_limits, &coverage)
            },
            two_per_vm_service("cutlist", 30, &costly_limits, &coverage),
            ServicePlan {
                orders: true,
                ..one_per_vm_service("jobbook", 9, &cheap_limits, &coverage)
            },
            one_per_vm_service("stockroom", 4, &cheap_limits, &coverage),
        ],
    }
}

fn numbered_domains(prefix: &str, count: u32) -> Vec<DomainName> {
    (1..=count)
        .map(|number| format!("{prefix}-{number}").into())
        .collect()
}

fn costly_connection_limits(slots: u32, connections: u32) -> TargetLimits {
    let connection_cost = Duration::from_millis(6);
    TargetLimits {
        slots,
        connections,
        connection_cost,
        ..Default::default()
    }
}

fn cheap_connection_limits(slots: u32, connections: u32) -> TargetLimits {
    let connection_cost = Duration::from_millis(1);
    TargetLimits {
        slots,
        connections,
        connection_cost,
        ..Default::default()
    }
}

/// A service with two searchers on each VM and one shard per VM.
fn two_per_vm_service(
    name: &str,
    vms: u32,
    limits: &TargetLimits,
    coverage: &CoveragePolicy,
) -> ServicePlan {
    ServicePlan {
        name: name.into(),
        searchers: vms * 2,
        searchers_per_vm: 2,
        shards: vms,
        limits: limits.clone(),
        coverage: coverage.clone(),
        orders: false,
        versions: vec!["1".into()],
    }
}

/// A service with one searcher on each VM and one shard per searcher.
fn one_per_vm_service(
    name: &str,
    searchers: u32,
    limits: &TargetLimits,
    coverage: &CoveragePolicy,
) -> ServicePlan {
    ServicePlan {
        searchers,
        searchers_per_vm: 1,
        shards: searchers,
        ..two_per_vm_service(name, 0, limits, coverage)
    }
}
