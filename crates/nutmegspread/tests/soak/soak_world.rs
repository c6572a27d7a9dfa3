//! Nodes as processes, with stand-ins of the platform around them.

use indexmap::IndexMap;
use nutmegspread_platform_standin::*;
use rustix::process::{Pid, Signal, kill_process};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const CALLER_PORT: u16 = 18104;
pub const ADDRESS_PORT: u16 = 18100;
pub const READY_PORT: u16 = 18108;
pub const PEER_PORT: u16 = 17380;
/// The node's default, which the settings here leave as it is.
pub const METRICS_PORT: u16 = 9464;
/// Grace of a planned stop in the settings of the nodes.
pub const GRACE: Duration = Duration::from_secs(3);
/// Sets of shards between which configurations change.
pub const SHARD_SETS: [(&str, usize); 2] = [("left", 6), ("right", 8)];
/// The service of single requests.
pub const SINGLE_SERVICE: &str = "single";
/// Connections that a searcher accepts, by the configuration.
pub const TARGET_CONNECTIONS: u32 = 64;
pub const TOP_RECORDS: usize = 10;
pub const LEAST_COVERAGE: f64 = 0.7;

/// One node, whether it runs or not.
pub struct SoakNode {
    pub address: IpAddr,
    pub store_way: FaultProxy,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Processes that were started for the node.
    spawns: usize,
}

/// One searcher behind a proxy.
pub struct SoakSearcher {
    pub settings: SearcherSettings,
    pub way: FaultProxy,
    pub searcher: SearcherStandin,
}

/// Nodes as processes, with stand-ins around them.
pub struct SoakWorld {
    pub store: StoreStandin,
    pub ledger: Arc<RunLedger>,
    pub searchers: IndexMap<String, SoakSearcher>,
    pub nodes: Vec<SoakNode>,
    /// Versions with the time of their acknowledgement and the shards that they name.
    pub versions: Vec<(u64, Instant, Vec<String>)>,
    pub folder: PathBuf,
    next_searcher: u32,
}

pub fn shards(set: usize) -> Vec<String> {
    let (name, count) = SHARD_SETS[set];
    (0..count)
        .map(|number| format!("{name}-{number}"))
        .collect()
}

impl SoakWorld {
    /// Starts stand-ins and nodes; each seed has its own loopback addresses.
    pub async fn start(seed: u64, nodes: usize) -> Self {
        let store = StoreStandin::start().await.expect("a port for the store");
        let folder =
            std::env::temp_dir().join(format!("nutmegspread-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for settings and logs");
        let mut world = Self {
            store,
            ledger: Arc::default(),
            searchers: IndexMap::new(),
            nodes: Vec::new(),
            versions: Vec::new(),
            folder,
            next_searcher: 0,
        };
        for set in 0..SHARD_SETS.len() {
            for shard in shards(set) {
                world.add_searcher(&shard, "domain-a").await;
                world.add_searcher(&shard, "domain-b").await;
            }
        }
        for domain in ["domain-a", "domain-b", "domain-a"] {
            world.add_searcher(SINGLE_SERVICE, domain).await;
        }
        world.configure(0);
        for number in 0..nodes {
            world.add_node(seed, number).await;
        }
        for number in 0..nodes {
            world.spawn(number);
        }
        world
    }

    /// Starts a searcher and enters it into the store; returns its id.
    pub async fn add_searcher(&mut self, service: &str, domain: &str) -> String {
        self.add_version(service, domain, "v1").await
    }

    /// The same with a version of its software.
    pub async fn add_version(&mut self, service: &str, domain: &str, version: &str) -> String {
        self.next_searcher += 1;
        let id = format!("i-{}", self.next_searcher);
        let started_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |age| age.as_millis() as u64);
        let settings = SearcherSettings {
            service: service.to_owned(),
            version: version.to_owned(),
            domain: domain.to_owned(),
            started_ms,
            ..Default::default()
        };
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let searcher = SearcherStandin::start(&id, any, settings.clone(), Arc::clone(&self.ledger))
            .await
            .expect("a port for a searcher");
        let way = FaultProxy::start(searcher.address())
            .await
            .expect("a port for a proxy");
        self.store.register(&id, &settings, way.address());
        self.searchers.insert(
            id.clone(),
            SoakSearcher {
                settings,
                way,
                searcher,
            },
        );
        id
    }

    /// Writes the next configuration, which names the shards of `set`.
    pub fn configure(&mut self, set: usize) {
        let version = self.versions.last().map_or(3, |(version, ..)| version + 2);
        let named = shards(set);
        let route = |name: &str, is_safe, destination| DraftRoute {
            name: name.to_owned(),
            is_safe,
            timeout_ms: 1500,
            objective_ms: 100,
            destination,
        };
        let single = || DraftDestination::Service(SINGLE_SERVICE.to_owned());
        let draft = ConfigurationDraft {
            version,
            connections: TARGET_CONNECTIONS,
            routes: vec![
                route(
                    "gather",
                    true,
                    DraftDestination::Gather(named.clone(), TOP_RECORDS, LEAST_COVERAGE),
                ),
                route("fetch", true, single()),
                route("order", false, single()),
            ],
        };
        self.store.configure(&draft.document());
        self.versions.push((version, Instant::now(), named));
    }

    /// Starts the process of a node.
    pub fn spawn(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&node.log)
            .expect("a file for the log");
        let errors = log.try_clone().expect("the same file for errors");
        let child = Command::new(env!("CARGO_BIN_EXE_nutmegspread"))
            .args(["edge", "--settings"])
            .arg(&node.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the node's process");
        node.child = Some(child);
        node.spawns += 1;
    }

    /// Sends a signal to the process of a node, if it runs.
    pub fn signal(&self, number: usize, signal: Signal) {
        if let Some(child) = &self.nodes[number].child
            && let Some(pid) = Pid::from_raw(child.id() as i32)
        {
            // A process that has just ended needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the newest process of a node has come as far as its line on the start. Before
    /// that its program may not run yet, and a signal ends any such process.
    pub fn has_started(&self, number: usize) -> bool {
        let node = &self.nodes[number];
        let log = std::fs::read_to_string(&node.log).unwrap_or_default();
        log.matches("\"event\":\"start\"").count() >= node.spawns
    }

    /// Waits until `has_started` holds.
    pub async fn wait_for_start(&self, number: usize) {
        for _ in 0..500 {
            if self.has_started(number) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        panic!("node {number} did not start");
    }

    /// The end of a node's process, if it has ended.
    pub fn ended(&mut self, number: usize) -> Option<ExitStatus> {
        let child = self.nodes[number].child.as_mut()?;
        let status = child.try_wait().expect("the state of an own process")?;
        self.nodes[number].child = None;
        Some(status)
    }

    /// Ends every process and stand-in.
    pub async fn close(mut self, keeps_logs: bool) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                // It may have ended by itself; either way it is waited for.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        for node in self.nodes {
            node.store_way.close();
        }
        for (_, searcher) in self.searchers {
            searcher.way.close();
            searcher.searcher.close();
        }
        self.store.close().await;
        if keeps_logs {
            eprintln!("logs of the nodes: {}", self.folder.display());
        } else if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            eprintln!("{} is left: {error}", self.folder.display());
        }
    }

    async fn add_node(&mut self, seed: u64, number: usize) {
        let [.., high, low] = (seed as u16).to_be_bytes();
        let address = IpAddr::V4(Ipv4Addr::new(127, 16 + high % 200, low, 11 + number as u8));
        let store_way = FaultProxy::start(self.store.address())
            .await
            .expect("a port for a proxy");
        let seeds: Vec<String> = (0..3)
            .map(|other| format!("\"127.{}.{low}.{}:1\"", 16 + high % 200, 11 + other))
            .collect();
        let domain = if number.is_multiple_of(2) {
            "domain-a"
        } else {
            "domain-b"
        };
        let text = format!(
            "// Settings of a node in the soak.\n{{\"node\": \"n{number}\", \"domain\": \"{domain}\", \
             \"address\": \"{address}\", \"listen\": {{\"callers\": \"{address}:{CALLER_PORT}\", \
             \"ready\": \"{address}:{READY_PORT}\", \"addresses\": \"{address}:{ADDRESS_PORT}\"}}, \
             \"peer_port\": {PEER_PORT}, \"seeds\": [{}], \"cores\": 0.25, \"store\": \"{}\", \
             \"retry_ratio\": 0.2, \"retry_slack\": 54, \"retry_window_s\": 10, \
             \"cold_factor\": 1.5, \"cold_slack\": 5, \"longest_keep_s\": 5, \
             \"stop_grace_s\": {}}}\n",
            seeds.join(", "),
            store_way.address(),
            GRACE.as_secs(),
        );
        let settings = self.folder.join(format!("node-{number}.jsonc"));
        std::fs::write(&settings, text).expect("a settings file");
        let log = self.folder.join(format!("node-{number}.log"));
        self.nodes.push(SoakNode {
            address,
            store_way,
            settings,
            log,
            child: None,
            spawns: 0,
        });
    }
}
