//! Two nodes, with stand-ins for the platform and for one target of each version, on loopback.

use nutmegspread_model::{
    ConfigurationDocument, DomainSettings, ObjectMetadata, PlatformObject, QueryAnswer,
    QueryRequest, RolloutSettings, RolloutStep, ServiceSettings, ShardPlacement, SnapshotMap,
    TargetSettings,
};
use nutmegspread_node::{NodeProcess, NodeSettings, PlatformAccess};
use nutmegspread_standin::platform::{PlatformStandin, PlatformStandinSettings};
use nutmegspread_standin::searcher::{FaultSettings, SearcherSettings, SearcherStandin};
use nutmegspread_wire::platform::{ObjectKind, PlatformClient, PlatformSettings};
use std::time::{Duration, Instant, SystemTime};

const TOKEN: &str = "rollout-test-token";
const SERVICE: &str = "catalog";
const VERSIONS: [&str; 2] = ["old", "new"];
const NODE_COUNT: usize = 2;
/// Longest time to wait for an expected state.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Time between two queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(10);

/// The nodes and stand-ins that a test uses.
pub struct RolloutWorld {
    platform: PlatformStandin,
    searchers: Vec<SearcherStandin>,
    nodes: Vec<NodeProcess>,
    http: reqwest::Client,
}

impl RolloutWorld {
    /// Starts the stand-ins and nodes, and applies a configuration with a rollout that starts at once. If
    /// `fails` is set, the target of the new version sheds all requests.
    pub async fn start(fails: bool) -> Self {
        let settings = PlatformStandinSettings::default();
        let platform = PlatformStandin::start(settings).await.unwrap();
        let mut searchers = Vec::new();
        for version in VERSIONS {
            let settings = SearcherSettings {
                service: SERVICE.into(),
                version: version.into(),
                ..Default::default()
            };
            searchers.push(SearcherStandin::start(settings).await.unwrap());
        }
        searchers[1].faults().set(FaultSettings {
            shed_all: fails,
            ..Default::default()
        });
        let address = platform.address().to_string();
        store_maps(&address).await;
        let nodes = tokio::task::spawn_blocking(move || {
            let nodes = (0..NODE_COUNT).map(|number| start_node(number, &address));
            nodes.collect::<Vec<_>>()
        });
        let world = Self {
            platform,
            searchers,
            nodes: nodes.await.unwrap(),
            http: reqwest::Client::builder().no_proxy().build().unwrap(),
        };
        world.apply_configuration().await;
        world
    }

    /// Sends queries until the status page of every node shows the given state of the rollout; returns
    /// the pages.
    pub async fn query_until_stated(&self, state: &str) -> Vec<String> {
        let deadline = Instant::now() + WAIT_LIMIT;
        let cell = format!("<td>{state}</td>");
        loop {
            for node in 0..NODE_COUNT {
                for _ in 0..10 {
                    self.query(node).await;
                    tokio::time::sleep(QUERY_INTERVAL).await;
                }
            }
            let mut pages = Vec::new();
            for node in &self.nodes {
                pages.push(self.status_page(node).await);
            }
            if pages.iter().all(|page| page.contains(&cell)) {
                return pages;
            }
            assert!(
                Instant::now() < deadline,
                "the rollout is not {state}: {pages:#?}"
            );
        }
    }

    /// Whether the new version answers the next query to a node.
    pub async fn new_version_answers(&self, node: usize) -> bool {
        let answer = self.query(node).await.expect("the query was not answered");
        &*answer.version == VERSIONS[1]
    }

    /// Stops the nodes and stand-ins; panics if a stop cuts off a request.
    pub async fn close(self) {
        let stops = self.nodes.into_iter();
        let stops = stops.map(|node| tokio::spawn(node.close()));
        for stop in stops.collect::<Vec<_>>() {
            assert!(stop.await.unwrap(), "a planned stop cut off a request");
        }
        for searcher in self.searchers {
            searcher.close().await;
        }
        self.platform.close().await;
    }

    async fn query(&self, node: usize) -> Option<QueryAnswer> {
        let request = QueryRequest {
            route: "search".into(),
            query: "urn".into(),
            k: 3,
            deadline_ms: None,
        };
        let address = self.nodes[node].caller_address();
        let url = format!("http://{address}/v1/services/{SERVICE}/query");
        let response = self.http.post(url).json(&request).send().await.unwrap();
        response.json().await.ok()
    }

    async fn status_page(&self, node: &NodeProcess) -> String {
        let url = format!("http://{}/console/status", node.operator_address());
        let call = self.http.get(url).bearer_auth(TOKEN);
        call.send().await.unwrap().text().await.unwrap()
    }

    async fn apply_configuration(&self) {
        let document = self.document();
        let address = self.nodes[0].operator_address();
        let url = format!("http://{address}/v1/configuration?base=0");
        let call = self.http.put(url).bearer_auth(TOKEN).json(&document);
        let response = call.send().await.unwrap();
        let is_accepted = response.status().is_success();
        assert!(is_accepted, "{}", response.text().await.unwrap());
    }

    fn document(&self) -> ConfigurationDocument {
        let service = ServiceSettings {
            version: VERSIONS[0].into(),
            ..Default::default()
        };
        let target = |(version, searcher): (&str, &SearcherStandin)| {
            let settings = TargetSettings {
                service: SERVICE.into(),
                domain: "domain-a".into(),
                version: version.into(),
                address: searcher.address().to_string(),
                ..Default::default()
            };
            (version.into(), settings)
        };
        let targets = VERSIONS.into_iter().zip(&self.searchers);
        ConfigurationDocument {
            domains: [("domain-a".into(), DomainSettings::default())].into(),
            services: [(SERVICE.into(), service)].into(),
            targets: targets.map(target).collect(),
            rollouts: [("move".into(), rollout())].into(),
            ..Default::default()
        }
    }
}

fn rollout() -> RolloutSettings {
    let step = |share| RolloutStep {
        share,
        minimum_duration: Duration::from_secs(1),
        minimum_samples: 20,
    };
    let start = SystemTime::now();
    RolloutSettings {
        service: SERVICE.into(),
        from: VERSIONS[0].into(),
        to: VERSIONS[1].into(),
        start,
        finish_by: start + WAIT_LIMIT,
        steps: [0.005, 0.3, 1.0].map(step).to_vec(),
        hold: Duration::from_secs(2),
    }
}

async fn store_maps(address: &str) {
    let settings = PlatformSettings {
        address: address.into(),
        ..Default::default()
    };
    let client = PlatformClient::new(settings).unwrap();
    for version in VERSIONS {
        let map = SnapshotMap {
            service: SERVICE.into(),
            version: version.into(),
            snapshot: 1,
            shards: vec![ShardPlacement {
                replicas: vec![version.into()],
            }],
        };
        let object = PlatformObject {
            kind: ObjectKind::SnapshotMap.as_str().into(),
            metadata: ObjectMetadata {
                name: SnapshotMap::object_name(SERVICE, version),
                ..Default::default()
            },
            spec: map,
            status: serde_json::Value::Null,
        };
        let created = client.create(ObjectKind::SnapshotMap, &object).await;
        created.unwrap();
    }
}

fn start_node(number: usize, platform: &str) -> NodeProcess {
    NodeProcess::start(NodeSettings {
        node: format!("node-{number}").into(),
        domain: "domain-a".into(),
        operator_token: TOKEN.into(),
        platform: PlatformAccess {
            address: platform.into(),
            ..Default::default()
        },
        address_keep: Duration::from_millis(50),
        ..Default::default()
    })
    .unwrap()
}
