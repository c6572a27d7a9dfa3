//! Clients that keep cold searchers busy, and the check of the rule FAILBACK.

use crate::CaseRun;
use crate::client::{KeptConnection, resolve};
use crate::http::Message;
use crate::record::Record;
use crate::searcher::{Run, Searcher};
use crate::store::Store;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const SEARCHERS: u64 = 2;
const CLIENTS: u64 = 32;
/// `warmupS` and `warmupPerS` of the service, and what `warmupFactor` 1.5 and `warmupSlack` 5 make of it.
const WARMUP: Duration = Duration::from_secs(110);
const WARMUP_PER_S: u64 = 40;
const ALLOWED: u64 = WARMUP_PER_S * 3 / 2 + 5;
const WORK: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_secs(6);
/// Time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(50);
/// Time for which addresses of the directory are kept, as its answers say.
const KEEP_TIME: Duration = Duration::from_secs(1);
const SECOND: Duration = Duration::from_secs(1);

/// Writes the configuration, with one service whose searchers are cold at first.
pub fn configure(store: &Store) {
    store.put(
        "config",
        "main",
        &format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"desk.example\",\
             \"pathPrefix\":\"/orders/\",\"kind\":\"unsafe\",\"timeoutMs\":6000,\
             \"targetLatencyMs\":400,\"priority\":2,\"service\":\"work-orders\",\"maxAttempts\":1}}],\
             \"services\":[{{\"name\":\"work-orders\",\"healthPath\":\"/health\",\"maxConns\":100,\
             \"warmupS\":{},\"warmupPerS\":{WARMUP_PER_S}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            WARMUP.as_secs(),
        ),
    );
}

/// Starts the searchers, which are cold for the rest of the case.
pub fn start_searchers(store: &Store, record: &Arc<Record>) -> Vec<Arc<Searcher>> {
    let numbers = 1..=SEARCHERS;
    let searchers = numbers.map(|number| {
        let (id, zone) = (format!("i-{number}"), format!("zone-{number}"));
        let names = (id.as_str(), "work-orders", zone.as_str());
        Searcher::start(store, record, names, (WORK, WARMUP))
    });
    searchers.collect()
}

/// Waits until the directory of each of these nodes names at least `least` nodes.
pub fn wait_until_named(directories: &[SocketAddr], least: usize) -> Result<(), String> {
    let waited = Instant::now();
    let is_named = |directory: &SocketAddr| {
        resolve(*directory).is_some_and(|addresses| addresses.len() >= least)
    };
    while !directories.iter().all(is_named) {
        if waited.elapsed() > Duration::from_secs(15) {
            return Err(format!("the directory does not name {least} nodes"));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    requests: AtomicU64,
    served: AtomicU64,
    /// When each client attempt was sent.
    sent: Mutex<HashMap<String, Instant>>,
}

/// Clients that send as much as they may.
pub struct ColdLoad {
    shared: Arc<Shared>,
    clients: Vec<JoinHandle<()>>,
}

impl ColdLoad {
    /// Starts the clients, each in the zone of one of the nodes that serve the directory.
    pub fn start(directories: &[SocketAddr], record: &Arc<Record>) -> Self {
        let shared = Arc::new(Shared::default());
        let clients = (0..CLIENTS).map(|number| {
            let (shared, record) = (Arc::clone(&shared), Arc::clone(record));
            let mut directories = directories.to_vec();
            let zone = number as usize % directories.len();
            // Clients ask the node of their own zone first.
            directories.rotate_left(zone);
            let mut client = Client {
                number,
                directories,
                addresses: Vec::new(),
                asked: None,
                kept: None,
                count: 0,
            };
            std::thread::spawn(move || {
                while !shared.stop.load(Ordering::Relaxed) {
                    let wait = client.ask(&shared, &record);
                    std::thread::sleep(PAUSE.max(wait));
                }
            })
        });
        let clients = clients.collect();
        Self { shared, clients }
    }

    /// Stops the clients, and checks the rule for each searcher.
    ///
    /// # Errors
    /// When too few requests were served.
    pub fn check(self, case: &CaseRun, searchers: &[Arc<Searcher>]) -> Result<bool, String> {
        let (shared, record) = (self.shared, &case.record);
        shared.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        let sent = shared.sent.lock().expect("the sent requests");
        let mut is_broken = false;
        for searcher in searchers {
            let count = busiest_second(&searcher.runs(), &sent);
            record.say(&format!(
                "{} is cold and got {count} requests in its busiest second; the rule allows {ALLOWED}",
                searcher.id
            ));
            is_broken |= count > ALLOWED;
        }
        let served = shared.served.load(Ordering::Relaxed);
        let requests = shared.requests.load(Ordering::Relaxed);
        record.say(&format!("requests {requests}, served {served}"));
        if served < 100 {
            return Err("fewer than 100 requests were served".to_owned());
        }
        Ok(is_broken)
    }
}

/// Largest number of requests that clients sent in a second and that arrived in the same second.
fn busiest_second(runs: &[Run], sent: &HashMap<String, Instant>) -> u64 {
    let count = |from: Instant| {
        let arrived = runs
            .iter()
            .filter(|run| run.at >= from && run.at < from + SECOND);
        let counted =
            arrived.filter(|run| sent.get(&run.request).is_some_and(|sent| *sent >= from));
        counted.count() as u64
    };
    let starts = runs.iter().filter_map(|run| sent.get(&run.request));
    starts.map(|start| count(*start)).max().unwrap_or(0)
}

struct Client {
    number: u64,
    /// The nodes that serve the directory, the nearest first.
    directories: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    asked: Option<Instant>,
    kept: Option<KeptConnection>,
    count: u64,
}

impl Client {
    /// Sends one request; returns the time to wait before the next one.
    fn ask(&mut self, shared: &Shared, record: &Record) -> Duration {
        self.count += 1;
        let Some(mut kept) = self.connection() else {
            return SECOND / 2;
        };
        let id = format!("{:04x}{:012x}", self.number, self.count);
        let body = format!("order {}", self.count);
        let request = format!(
            "POST /orders/new HTTP/1.1\r\nHost: desk.example\r\nNutmegspread-Request-Id: {id}\r\n\
             Nutmegspread-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            DEADLINE.as_millis(),
            body.len(),
        );
        shared.requests.fetch_add(1, Ordering::Relaxed);
        record.line(&format!("sent {id} to {}", kept.node));
        let mut sent = shared.sent.lock().expect("the sent requests");
        sent.insert(id.clone(), Instant::now());
        drop(sent);
        let answer = kept.ask(&request, DEADLINE);
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!("answered {id}: {status}"));
        if status == 200 {
            shared.served.fetch_add(1, Ordering::Relaxed);
        }
        let wait = answer
            .as_ref()
            .and_then(|answer| answer.header("retry-after"));
        let wait = wait.and_then(|text| text.parse().ok()).unwrap_or(0.0);
        if answer.is_some_and(|answer| !answer.closes()) {
            self.kept = Some(kept);
        }
        Duration::from_secs_f64(wait).min(DEADLINE / 3)
    }

    /// The kept connection if the directory still names its node, or a new one to a node that it names.
    fn connection(&mut self) -> Option<KeptConnection> {
        if self.asked.is_none_or(|asked| asked.elapsed() >= KEEP_TIME) {
            let mut answers = self.directories.iter().filter_map(|node| resolve(*node));
            if let Some(addresses) = answers.find(|addresses| !addresses.is_empty()) {
                self.addresses = addresses;
                self.asked = Some(Instant::now());
            }
        }
        let kept = self.kept.take();
        if let Some(kept) = kept.filter(|kept| self.addresses.contains(&kept.node)) {
            return Some(kept);
        }
        let turn = (self.number / 2 + self.count) as usize;
        let node = *self.addresses.get(turn % self.addresses.len().max(1))?;
        KeptConnection::open(node)
    }
}
