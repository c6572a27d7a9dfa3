//! Nodes with stand-ins for targets and the platform, on loopback.

use nutmegspread_model::{
    ConfigurationDocument, DomainSettings, OrderAnswer, OrderRequest, RefusalBody, ServiceSettings,
    TargetSettings,
};
use nutmegspread_node::{NodeProcess, NodeSettings, PlatformAccess};
use nutmegspread_standin::platform::{PlatformStandin, PlatformStandinSettings};
use nutmegspread_standin::searcher::{FaultSettings, SearcherSettings, SearcherStandin};
use std::time::{Duration, Instant, SystemTime};

const TOKEN: &str = "order-test-token";
const SERVICE: &str = "shop-floor";
const TARGET_COUNT: usize = 3;
/// Longest time to wait for an expected state.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The node's answer or refusal of one order.
pub type OrderResult = Result<OrderAnswer, RefusalBody>;

/// The nodes and stand-ins that a test uses.
pub struct OrderWorld {
    pub platform: PlatformStandin,
    searchers: Vec<SearcherStandin>,
    nodes: Vec<NodeProcess>,
    http: reqwest::Client,
}

impl OrderWorld {
    /// Starts the stand-ins and nodes, applies a configuration, and waits until an order has run through
    /// each node.
    pub async fn start(nodes: usize) -> Self {
        let settings = PlatformStandinSettings::default();
        let platform = PlatformStandin::start(settings).await.unwrap();
        let mut searchers = Vec::new();
        for _ in 0..TARGET_COUNT {
            let settings = SearcherSettings {
                service: SERVICE.into(),
                slots: 3,
                ..Default::default()
            };
            searchers.push(SearcherStandin::start(settings).await.unwrap());
        }
        let address = platform.address().to_string();
        let nodes = tokio::task::spawn_blocking(move || {
            (0..nodes)
                .map(|number| start_node(number, &address))
                .collect::<Vec<_>>()
        });
        let nodes = nodes.await.unwrap();
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let world = Self {
            platform,
            searchers,
            nodes,
            http,
        };
        world.apply_configuration().await;
        for node in 0..world.nodes.len() {
            world.order_until_run(node, &format!("ready-{node}")).await;
        }
        world
    }

    /// Submits an order whose idempotency key was issued now.
    pub async fn order(&self, node: usize, key: &str, body: &str) -> OrderResult {
        self.order_issued(node, key, body, Duration::ZERO).await
    }

    /// Submits an order whose idempotency key was issued `age` ago.
    pub async fn order_issued(
        &self,
        node: usize,
        key: &str,
        body: &str,
        age: Duration,
    ) -> OrderResult {
        let issued_at = SystemTime::now() - age;
        let request = OrderRequest {
            route: "search".into(),
            body: body.into(),
            issued_at,
        };
        let address = self.nodes[node].caller_address();
        let url = format!("http://{address}/v1/services/{SERVICE}/orders");
        let call = self
            .http
            .post(url)
            .header("idempotency-key", key)
            .json(&request);
        let response = call.send().await.expect("the node does not answer");
        if response.status().is_success() {
            Ok(response.json().await.expect("the answer cannot be parsed"))
        } else {
            Err(response.json().await.expect("the refusal cannot be parsed"))
        }
    }

    /// Repeats an order until it has run.
    pub async fn order_until_run(&self, node: usize, key: &str) {
        let deadline = Instant::now() + WAIT_LIMIT;
        loop {
            match self.order(node, key, "urn").await {
                Ok(_) => return,
                Err(refusal) if Instant::now() > deadline => {
                    panic!("the order with key {key} did not run: {refusal:?}")
                }
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Waits until the dumps of the first `nodes` nodes show no order in progress.
    pub async fn wait_recorded(&self, nodes: usize) {
        let recorded = async {
            for node in &self.nodes[..nodes] {
                while self.dump(node).await["orders"]["orders"] != 0 {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        };
        tokio::time::timeout(WAIT_LIMIT, recorded)
            .await
            .expect("the outcome was not recorded in time");
    }

    /// How often the targets have run the order with an idempotency key.
    pub fn executions(&self, key: &str) -> u32 {
        let standin_executions = |standin: &SearcherStandin| {
            standin
                .counters()
                .executions
                .get(key)
                .copied()
                .unwrap_or_default()
        };
        self.searchers.iter().map(standin_executions).sum()
    }

    /// Makes every target shed all requests, or none.
    pub fn shed(&self, shed_all: bool) {
        for searcher in &self.searchers {
            searcher.faults().set(FaultSettings {
                shed_all,
                ..Default::default()
            });
        }
    }

    /// Replaces the targets in the configuration by one at `address`.
    pub async fn use_target(&self, address: &str) {
        self.configure([address.to_owned()], 1).await;
    }

    /// Stops the nodes and stand-ins; panics if a stop cuts off a request.
    pub async fn close(self) {
        let stops = self
            .nodes
            .into_iter()
            .map(|node| tokio::spawn(node.close()));
        for stop in stops.collect::<Vec<_>>() {
            assert!(stop.await.unwrap(), "a planned stop cut off a request");
        }
        for searcher in self.searchers {
            searcher.close().await;
        }
        self.platform.close().await;
    }

    async fn dump(&self, node: &NodeProcess) -> serde_json::Value {
        let url = format!("http://{}/v1/dump", node.operator_address());
        let call = self.http.get(url).bearer_auth(TOKEN);
        call.send().await.unwrap().json().await.unwrap()
    }

    async fn apply_configuration(&self) {
        let addresses = self.searchers.iter().map(SearcherStandin::address);
        self.configure(addresses.map(|address| address.to_string()), 0)
            .await;
    }

    async fn configure(&self, addresses: impl IntoIterator<Item = String>, base: u64) {
        let mut document = ConfigurationDocument::default();
        document
            .domains
            .insert("domain-a".into(), DomainSettings::default());
        let settings = ServiceSettings {
            version: "1".into(),
            orders: true,
            ..Default::default()
        };
        document.services.insert(SERVICE.into(), settings);
        for (number, target) in addresses.into_iter().enumerate() {
            let settings = TargetSettings {
                service: SERVICE.into(),
                domain: "domain-a".into(),
                version: "1".into(),
                address: target,
                ..Default::default()
            };
            document
                .targets
                .insert(format!("target-{base}-{number}").into(), settings);
        }
        let address = self.nodes[0].operator_address();
        let url = format!("http://{address}/v1/configuration?base={base}");
        let call = self.http.put(url).bearer_auth(TOKEN).json(&document);
        let response = call.send().await.unwrap();
        assert!(
            response.status().is_success(),
            "{}",
            response.text().await.unwrap()
        );
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
