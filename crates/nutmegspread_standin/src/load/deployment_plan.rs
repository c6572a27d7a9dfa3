//! Sizes of the deployments that are measured.

use super::service_plan::{ServicePlan, TargetPlan};
use nutmegspread_model::{
    ConfigurationDocument, CoveragePolicy, DomainName, DomainSettings, TargetLimits,
};
use std::str::FromStr;
use std::time::Duration;

/// Whose sizes to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeploymentKind {
    /// Four failure domains; answers wait for coverage.
    Guild,
    /// Three failure domains; answers are cut at the soft deadline.
    Kloofglas,
}

/// Services and failure domains of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Failure domains.
    pub domains: Vec<DomainName>,
    /// One-way delay between a node and a searcher.
    pub network_delay: Duration,
    /// Services; the load goes to the first one.
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

    /// Services and failure domains.
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
                "no deployment {name:?}; expected guild or kloofglas"
            )),
        }
    }
}

impl DeploymentPlan {
    /// All searchers.
    pub fn targets(&self) -> Vec<TargetPlan> {
        self.services
            .iter()
            .flat_map(|service| service.targets(&self.domains))
            .collect()
    }

    /// Configuration document without targets, whose addresses are not known yet.
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
    let desk = instance_limits(2, 25);
    let floor = floor_limits(3, 100);
    DeploymentPlan {
        domains: named_domains("northwest", 4),
        network_delay: Duration::from_micros(1500),
        services: vec![
            ServicePlan {
                versions: vec!["1".into(), "2".into()],
                ..instance_service("counter-desk", 20, &desk, &coverage)
            },
            instance_service("catalog", 30, &desk, &coverage),
            ServicePlan {
                orders: true,
                ..flat_service("shop-floor", 7, &floor, &coverage)
            },
            flat_service("billing", 4, &floor, &coverage),
        ],
    }
}

fn kloofglas_plan() -> DeploymentPlan {
    let coverage = CoveragePolicy {
        soft_deadline: Duration::from_millis(60),
        hard_deadline: Duration::from_millis(250),
        minimum_coverage: 0.5,
    };
    let builder = instance_limits(3, 30);
    let book = floor_limits(6, 50);
    DeploymentPlan {
        domains: named_domains("gauteng", 3),
        network_delay: Duration::from_micros(500),
        services: vec![
            ServicePlan {
                versions: vec!["1".into(), "2".into()],
                ..instance_service("quote-builder", 20, &builder, &coverage)
            },
            instance_service("cutlist", 30, &builder, &coverage),
            ServicePlan {
                orders: true,
                ..flat_service("jobbook", 9, &book, &coverage)
            },
            flat_service("stockroom", 4, &book, &coverage),
        ],
    }
}

fn named_domains(prefix: &str, count: u32) -> Vec<DomainName> {
    (1..=count)
        .map(|number| format!("{prefix}-{number}").into())
        .collect()
}

fn instance_limits(slots: u32, connections: u32) -> TargetLimits {
    let connection_cost = Duration::from_millis(6);
    TargetLimits {
        slots,
        connections,
        connection_cost,
        ..Default::default()
    }
}

fn floor_limits(slots: u32, connections: u32) -> TargetLimits {
    let connection_cost = Duration::from_millis(1);
    TargetLimits {
        slots,
        connections,
        connection_cost,
        ..Default::default()
    }
}

/// A service of VMs with two searchers each; each VM adds one shard.
fn instance_service(
    name: &str,
    instances: u32,
    limits: &TargetLimits,
    coverage: &CoveragePolicy,
) -> ServicePlan {
    ServicePlan {
        name: name.into(),
        searchers: instances * 2,
        searchers_a_vm: 2,
        shards: instances,
        limits: limits.clone(),
        coverage: coverage.clone(),
        orders: false,
        versions: vec!["1".into()],
    }
}

/// A service of single searchers; each adds one shard.
fn flat_service(
    name: &str,
    searchers: u32,
    limits: &TargetLimits,
    coverage: &CoveragePolicy,
) -> ServicePlan {
    ServicePlan {
        searchers,
        searchers_a_vm: 1,
        shards: searchers,
        ..instance_service(name, 0, limits, coverage)
    }
}
