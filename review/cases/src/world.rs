//! Node processes, the store and what all parts of a case share.

use crate::store::Store;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Host name of all routes.
pub const HOST: &str = "review.example";

/// What was sent, answered and run, as clients and searchers saw it.
#[derive(Default)]
pub struct Record {
    lines: Mutex<Vec<(u64, String)>>,
    runs: Mutex<HashMap<String, Vec<String>>>,
    answers: Mutex<HashMap<String, u16>>,
}

impl Record {
    /// Adds a line to the record.
    pub fn note(&self, clock: &Clock, line: String) {
        self.lines.lock().unwrap().push((clock.ms(), line));
    }

    /// Records that a searcher begins to work on a request.
    pub fn run(&self, clock: &Clock, id: &str, searcher: &str) {
        self.note(clock, format!("run {id} at {searcher}"));
        let mut runs = self.runs.lock().unwrap();
        runs.entry(id.to_owned())
            .or_default()
            .push(searcher.to_owned());
    }

    /// Records the status of a complete answer to a client; 0 if there was none.
    pub fn answer(&self, clock: &Clock, id: &str, status: u16) {
        self.note(clock, format!("answered {id} {status}"));
        self.answers.lock().unwrap().insert(id.to_owned(), status);
    }

    /// Requests that ran more than once, with the searchers that ran them.
    pub fn twice(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        let twice = runs.iter().filter(|(_, searchers)| searchers.len() > 1);
        twice
            .map(|(id, searchers)| format!("TWICE {id} ran at {}", searchers.join(" and at ")))
            .collect()
    }

    /// Requests that were answered with a status that promises that they have not run, and ran.
    pub fn refused(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        let answers = self.answers.lock().unwrap();
        let refused = answers.iter().filter(|(id, status)| {
            matches!(status, 408 | 421 | 429 | 503) && runs.contains_key(*id)
        });
        refused
            .map(|(id, status)| {
                let searchers = runs[id].join(" and at ");
                format!("REFUSED {id} was answered with {status} and ran at {searchers}")
            })
            .collect()
    }

    /// Number of answers by status.
    pub fn statuses(&self) -> Vec<(u16, usize)> {
        let mut counts: HashMap<u16, usize> = HashMap::new();
        for status in self.answers.lock().unwrap().values() {
            *counts.entry(*status).or_default() += 1;
        }
        let mut counts: Vec<(u16, usize)> = counts.into_iter().collect();
        counts.sort_unstable();
        counts
    }

    /// Number of requests that ran.
    pub fn run_count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }

    /// Writes all lines, ordered by time, and then `summary`.
    pub fn write(&self, path: &Path, summary: &[String]) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            text.push_str(&format!("{at} ms: {line}\n"));
        }
        for line in summary {
            text.push_str(line);
            text.push('\n');
        }
        std::fs::write(path, text)
    }
}

/// Time since the start of the case, and whether the disruption is under way.
pub struct Clock {
    start: Instant,
    trouble: AtomicBool,
    ids: AtomicU64,
}

impl Clock {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            trouble: AtomicBool::new(false),
            ids: AtomicU64::new(1),
        }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn set_trouble(&self, is_on: bool) {
        self.trouble.store(is_on, Ordering::Relaxed);
    }

    pub fn is_trouble(&self) -> bool {
        self.trouble.load(Ordering::Relaxed)
    }

    /// A new request id: 16 hexadecimal digits.
    pub fn next_id(&self) -> String {
        let number = self.ids.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", mix(number))
    }
}

/// Spreads a number over 64 bits; different numbers give different results.
pub fn mix(number: u64) -> u64 {
    let mut z = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Pseudo-random numbers from 0 to 1.
pub struct Dice(Mutex<u64>);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(seed))
    }

    pub fn roll(&self) -> f64 {
        let mut state = self.0.lock().unwrap();
        *state = state.wrapping_add(1);
        (mix(*state) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A node process.
pub struct Node {
    pub addresses: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let errors = log.try_clone()?;
        self.child = Some(
            Command::new("target/release/nutmegspread")
                .arg("edge")
                .env("NUTMEGSPREAD_CONFIG", &self.settings)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(errors)
                .spawn()?,
        );
        Ok(())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment: nodes and the store.
pub struct World {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub clock: Arc<Clock>,
    pub record: Arc<Record>,
    pub folder: PathBuf,
}

impl World {
    /// Starts the store, and `count` nodes that know `configuration`.
    pub async fn start(count: usize, configuration: &Value) -> std::io::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("nutmegspread-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start().await?;
        store.put("config", "main", configuration.to_string().as_bytes());
        let network = free_network(count)?;
        let mut world = Self {
            store,
            nodes: Vec::new(),
            clock: Arc::new(Clock::new()),
            record: Arc::default(),
            folder,
        };
        let ports = free_ports(network, count)?;
        for number in 0..count {
            let node = world.prepare(network, ports, number, count)?;
            world.nodes.push(node);
        }
        for node in &mut world.nodes {
            node.start()?;
        }
        Ok(world)
    }

    /// Waits until all nodes answer the platform's question whether they are ready.
    pub async fn wait_until_ready(&self) -> bool {
        for _ in 0..100 {
            let mut ready = 0;
            for node in &self.nodes {
                let call = crate::client::get(node.ready, "/-/ready");
                if call.await.is_some_and(|answer| answer.status == 200) {
                    ready += 1;
                }
            }
            if ready == self.nodes.len() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Writes the settings of a node as the platform fills in the template `platform/settings.jsonc`.
    fn prepare(
        &self,
        network: [u8; 2],
        ports: [u16; 5],
        number: usize,
        count: usize,
    ) -> std::io::Result<Node> {
        let address = node_address(network, number);
        let [callers, addresses, ready, peers, metrics] = ports;
        let seeds: Vec<String> = (0..count.min(3))
            .map(|other| format!("{}:1", node_address(network, other)))
            .collect();
        let zones = ["gp-midrand", "gp-centurion", "gp-sandton"];
        let settings = json!({
            "node": format!("front-{}", number + 1),
            "domain": zones[number % zones.len()],
            "address": address.to_string(),
            "listen": {
                "callers": format!("{address}:{callers}"),
                "ready": format!("{address}:{ready}"),
                "addresses": format!("{address}:{addresses}"),
            },
            "peer_port": peers,
            "seeds": seeds,
            "cores": 0.25,
            "store": self.store.address().to_string(),
            "history_s": 20,
            "retry_ratio": 0.2,
            "retry_slack": 54,
            "retry_window_s": 10,
            "cold_factor": 1.5,
            "cold_slack": 5,
            "exposure_share": 0.1,
            "exposure_slack": 50,
            "drain_ms": 3000,
            "renewal_ms": 1200,
            "longest_keep_s": 5,
            "stop_grace_s": 6,
            "metrics_port": metrics,
        });
        let path = self.folder.join(format!("node-{}.jsonc", number + 1));
        std::fs::write(&path, settings.to_string())?;
        Ok(Node {
            addresses: SocketAddr::from((address, addresses)),
            ready: SocketAddr::from((address, ready)),
            settings: path,
            log: self.folder.join(format!("node-{}.log", number + 1)),
            child: None,
        })
    }
}

impl Drop for World {
    /// Ends all processes and removes the temporary folder.
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}

fn node_address([high, low]: [u8; 2], number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, high, low, 11 + number as u8)
}

/// A part of the loopback network on whose addresses nothing listens at a port of the nodes.
fn free_network(count: usize) -> std::io::Result<[u8; 2]> {
    let first = std::process::id();
    for offset in 0..100 {
        let seed = mix(u64::from(first) + offset);
        let network = [20 + (seed % 200) as u8, (seed >> 8) as u8];
        let is_free =
            (0..count).all(|number| TcpListener::bind((node_address(network, number), 0)).is_ok());
        if is_free {
            return Ok(network);
        }
    }
    Err(std::io::Error::other("no free loopback addresses"))
}

/// Five ports that are free on all nodes' addresses.
fn free_ports(network: [u8; 2], count: usize) -> std::io::Result<[u16; 5]> {
    let mut ports = [0; 5];
    let mut held = Vec::new();
    let mut found = 0;
    for _ in 0..1000 {
        if found == ports.len() {
            return Ok(ports);
        }
        let first = TcpListener::bind((node_address(network, 0), 0))?;
        let port = first.local_addr()?.port();
        let others: Vec<_> = (1..count)
            .map(|number| TcpListener::bind((node_address(network, number), port)))
            .collect();
        if others.iter().all(Result::is_ok) {
            ports[found] = port;
            found += 1;
        }
        held.push(first);
        held.extend(others.into_iter().flatten());
    }
    Err(std::io::Error::other("no free ports"))
}

/// A route to one service.
pub fn service_route(
    name: &str,
    service: &str,
    is_safe: bool,
    timeout_ms: u64,
    aim_ms: u64,
) -> Value {
    json!({ "name": name, "host": HOST, "pathPrefix": format!("/{name}/"),
        "kind": if is_safe { "safe" } else { "unsafe" }, "timeoutMs": timeout_ms,
        "targetLatencyMs": aim_ms, "priority": 1, "maxAttempts": 2, "service": service })
}

/// A route to all of `shards`.
pub fn gather_route(
    name: &str,
    shards: &[String],
    top: usize,
    aim_ms: u64,
    timeout_ms: u64,
) -> Value {
    json!({ "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": "safe",
        "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms, "priority": 1, "maxAttempts": 2,
        "gather": shards, "topK": top, "minCoverage": 0.89 })
}

/// A configuration with the given routes, and with the services of these names.
pub fn configuration(
    version: u64,
    routes: &[Value],
    services: &[impl AsRef<str>],
    connections: u32,
) -> Value {
    let services: Vec<Value> = services
        .iter()
        .map(|name| {
            json!({ "name": name.as_ref(), "healthPath": "/health", "maxConns": connections,
                "protocol": "h1", "tls": false, "warmupS": 0.0, "warmupPerS": 0.0 })
        })
        .collect();
    json!({ "version": version, "routes": routes, "services": services,
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 } })
}
