//! The demo deployment: stand-ins, configuration and nodes, all in one process on loopback.

use super::standin_command::{standin_error, store_snapshot_maps};
use crate::command_error::CommandError;
use nutmegspread_model::{
    ConfigurationDocument, CoveragePolicy, DomainSettings, ServiceSettings, TargetId,
    TargetSettings,
};
use nutmegspread_node::{NodeProcess, NodeSettings, PlatformAccess};
use nutmegspread_standin::platform::{PlatformStandin, PlatformStandinSettings};
use nutmegspread_standin::searcher::{SearcherSettings, SearcherStandin};
use std::time::Duration;

/// Failure domains of the demo.
pub const DEMO_DOMAINS: [&str; 4] = ["domain-a", "domain-b", "domain-c", "domain-d"];
/// Services of the demo.
pub const DEMO_SERVICES: [&str; 2] = ["catalog", "shop-floor"];
/// Operator token of all demo nodes.
pub const DEMO_TOKEN: &str = "demo-operator-token";

const DEMO_VERSION: &str = "1";
/// Number of nodes in the demo.
pub const NODE_COUNT: usize = 3;
const TARGETS_PER_SERVICE_AND_DOMAIN: usize = 2;

/// A searcher stand-in with its service and failure domain.
pub struct DemoSearcher {
    /// Target id of the searcher in the configuration.
    pub target: TargetId,
    /// Service that the searcher belongs to.
    pub service: &'static str,
    /// Failure domain of the searcher.
    pub domain: &'static str,
    /// Running stand-in.
    pub standin: SearcherStandin,
}

/// The running stand-ins and nodes of the demo.
pub struct DemoWorld {
    /// Stand-in for the platform.
    pub platform: PlatformStandin,
    /// Searcher stand-ins of both services.
    pub searchers: Vec<DemoSearcher>,
    /// Running nodes.
    pub nodes: Vec<NodeProcess>,
}

impl DemoWorld {
    /// Starts the stand-ins, stores the snapshot maps and starts the nodes.
    ///
    /// # Errors
    /// When a stand-in or node cannot start or a snapshot map cannot be stored.
    pub async fn start() -> Result<Self, CommandError> {
        let platform = PlatformStandin::start(PlatformStandinSettings::default())
            .await
            .map_err(standin_error)?;
        let mut searchers = Vec::new();
        for service in DEMO_SERVICES {
            for domain in DEMO_DOMAINS {
                for number in 0..TARGETS_PER_SERVICE_AND_DOMAIN {
                    searchers.push(start_searcher(service, domain, number).await?);
                }
            }
        }
        let address = platform.address().to_string();
        store_snapshot_maps(&address, &build_document(&searchers)).await?;
        let nodes = start_nodes(address).await?;
        Ok(Self {
            platform,
            searchers,
            nodes,
        })
    }

    /// Returns a configuration document with the domains, services and targets of the demo.
    pub fn document(&self) -> ConfigurationDocument {
        build_document(&self.searchers)
    }

    /// Stops the nodes as planned, then the stand-ins.
    ///
    /// Returns whether every node ended all its requests before the stop limit.
    pub async fn close(self) -> bool {
        let stop_tasks = self
            .nodes
            .into_iter()
            .map(|node| tokio::spawn(node.close()));
        let mut stopped_in_time = true;
        for stop_task in stop_tasks.collect::<Vec<_>>() {
            stopped_in_time &= stop_task.await.unwrap_or(false);
        }
        for searcher in self.searchers {
            searcher.standin.close().await;
        }
        self.platform.close().await;
        stopped_in_time
    }
}

fn build_document(searchers: &[DemoSearcher]) -> ConfigurationDocument {
    let mut document = ConfigurationDocument::default();
    for domain in DEMO_DOMAINS {
        document
            .domains
            .insert(domain.into(), DomainSettings::default());
    }
    for service in DEMO_SERVICES {
        let settings = ServiceSettings {
            version: DEMO_VERSION.into(),
            orders: true,
            coverage: CoveragePolicy {
                soft_deadline: Duration::from_millis(500),
                hard_deadline: Duration::from_millis(2000),
                minimum_coverage: 1.0,
            },
            ..ServiceSettings::default()
        };
        document.services.insert(service.into(), settings);
    }
    for searcher in searchers {
        let settings = TargetSettings {
            service: searcher.service.into(),
            domain: searcher.domain.into(),
            version: DEMO_VERSION.into(),
            address: searcher.standin.address().to_string(),
            ..TargetSettings::default()
        };
        document.targets.insert(searcher.target.clone(), settings);
    }
    document
}

async fn start_searcher(
    service: &'static str,
    domain: &'static str,
    number: usize,
) -> Result<DemoSearcher, CommandError> {
    let settings = SearcherSettings {
        service: service.into(),
        version: DEMO_VERSION.into(),
        ..SearcherSettings::default()
    };
    let standin = SearcherStandin::start(settings)
        .await
        .map_err(standin_error)?;
    let target = format!("{service}-{domain}-{number}").into();
    Ok(DemoSearcher {
        target,
        service,
        domain,
        standin,
    })
}

async fn start_nodes(platform: String) -> Result<Vec<NodeProcess>, CommandError> {
    let start_all = move || {
        (0..NODE_COUNT)
            .map(|number| NodeProcess::start(node_settings(number, &platform)))
            .collect()
    };
    let nodes: Result<Vec<NodeProcess>, _> = tokio::task::spawn_blocking(start_all)
        .await
        .map_err(std::io::Error::other)?;
    Ok(nodes?)
}

fn node_settings(number: usize, platform: &str) -> NodeSettings {
    NodeSettings {
        node: format!("node-{}", number + 1).into(),
        domain: DEMO_DOMAINS[number % DEMO_DOMAINS.len()].into(),
        operator_token: DEMO_TOKEN.into(),
        platform: PlatformAccess {
            address: platform.into(),
            ..PlatformAccess::default()
        },
        address_keep: Duration::from_millis(1000),
        log_level: "warn".into(),
        ..NodeSettings::default()
    }
}
