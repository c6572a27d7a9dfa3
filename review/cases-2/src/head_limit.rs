//! A node applies the limit on heads that was in force when a connection was opened. A connection that
//! was opened before the node knew a configuration keeps the built-in limit for good.

use crate::client::{Directory, KeptConnection};
use crate::node::{Fleet, Node};
use crate::searcher::Searcher;
use crate::store::Store;
use crate::{CaseRun, Outcome};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NODES: u8 = 3;
const CLIENTS: u64 = 60;
/// Limit on heads of the only configuration of the case.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// Bytes of the one long header of a long request, whose head stays within the limit.
const LONG_HEADER: usize = 24 * 1024;
const DEADLINE: Duration = Duration::from_secs(2);
/// Time between two requests of a client, and between two with a long head.
const PAUSE: Duration = Duration::from_millis(500);
const LONG_EVERY: u64 = 24;
const WORK: Duration = Duration::from_millis(5);
/// `stableWindowMs`, after which a machine is in touch, and some time more.
const STABLE_WINDOW: Duration = Duration::from_millis(4000 + 500);
const DOWN_TIME: Duration = Duration::from_millis(4500);
const RESTART_TIME: Duration = Duration::from_millis(1200);
const BEFORE: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(20);

/// What all clients count.
#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    served: AtomicU64,
    /// Requests that nodes in touch ended with a 3xx or 4xx other than 408, 421 and 429.
    denied: AtomicU64,
    /// The same from nodes out of touch, which do not count here.
    denied_early: AtomicU64,
    stop: AtomicBool,
    /// Time since which the nodes are in touch; `None` while they are not.
    in_touch: Mutex<Option<Instant>>,
}

pub fn run(case: &CaseRun) -> Outcome {
    let record = &case.record;
    let store = Store::start();
    let mut searchers = Vec::new();
    for number in 1..=3 {
        let id = format!("i-{number}");
        let zone = format!("zone-{number}");
        let names = (id.as_str(), "work-orders", zone.as_str());
        searchers.push(Searcher::start(
            &store,
            record,
            names,
            (WORK, Duration::ZERO),
        ));
    }
    store.put(
        "config",
        "main",
        &format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"desk.example\",\
             \"pathPrefix\":\"/orders/\",\"kind\":\"safe\",\"timeoutMs\":6000,\
             \"targetLatencyMs\":400,\"priority\":2,\"service\":\"work-orders\",\"maxAttempts\":2}}],\
             \"services\":[{{\"name\":\"work-orders\",\"healthPath\":\"/health\",\"maxConns\":100,\
             \"warmupS\":3.0,\"warmupPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":{MAX_HEADER_BYTES},\
             \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        ),
    );
    let fleet = match Fleet::new(case, &store, NODES) {
        Ok(fleet) => fleet,
        Err(reason) => return Outcome::NotRun(reason),
    };
    let mut nodes: Vec<Node> = (1..=NODES).map(|number| fleet.start(number)).collect();
    let directories: Vec<SocketAddr> = nodes.iter().map(|node| node.addresses).collect();
    let directory = Arc::new(Directory::default());
    let waited = Instant::now();
    while directory.addresses().len() < usize::from(NODES) {
        if waited.elapsed() > Duration::from_secs(10) {
            return Outcome::NotRun("the directory does not name all nodes".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
        directory.refresh(&directories);
    }
    let counts = Arc::new(Counts::default());
    *counts.in_touch.lock().expect("the time") = Some(Instant::now() + STABLE_WINDOW);
    let mut threads = Vec::new();
    for client in 0..CLIENTS {
        let (counts, directory) = (Arc::clone(&counts), Arc::clone(&directory));
        let record = Arc::clone(record);
        threads.push(std::thread::spawn(move || {
            let mut client = Client {
                number: client,
                kept: None,
                sent: 0,
            };
            std::thread::sleep(PAUSE.mul_f64(client.number as f64 / CLIENTS as f64));
            while !counts.stop.load(Ordering::Relaxed) {
                client.ask(&counts, &directory, &record);
                std::thread::sleep(PAUSE);
            }
        }));
    }
    let refreshed = {
        let (counts, directory) = (Arc::clone(&counts), Arc::clone(&directory));
        std::thread::spawn(move || {
            while !counts.stop.load(Ordering::Relaxed) {
                directory.refresh(&directories);
                std::thread::sleep(Duration::from_secs(1));
            }
        })
    };
    std::thread::sleep(BEFORE);
    if case.has_trouble {
        *counts.in_touch.lock().expect("the time") = None;
        record.say("the store is down, and the processes of all nodes are killed");
        store.set_down(true);
        for node in &mut nodes {
            node.kill();
        }
        std::thread::sleep(RESTART_TIME);
        for node in &mut nodes {
            node.start();
        }
        record.say("the processes start again");
        std::thread::sleep(DOWN_TIME - RESTART_TIME);
        store.set_down(false);
        record.say("the store is back");
        *counts.in_touch.lock().expect("the time") = Some(Instant::now() + STABLE_WINDOW);
    }
    std::thread::sleep(AFTER);
    counts.stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let _ = refreshed.join();
    if !nodes.iter_mut().all(Node::is_running) {
        return Outcome::NotRun("a node ended by itself".to_owned());
    }
    drop(nodes);
    let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (requests, denied) = (load(&counts.requests), load(&counts.denied));
    let allowed = 5.0 + requests as f64 / 500.0;
    record.say(&format!(
        "requests {requests}, served {}, ended with a 4xx by nodes in touch {denied}, by others {}; \
         the rule allows {allowed:.1}",
        load(&counts.served),
        load(&counts.denied_early),
    ));
    if load(&counts.served) * 2 < requests {
        return Outcome::NotRun("fewer than half of the requests were served".to_owned());
    }
    if denied as f64 > allowed {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

struct Client {
    number: u64,
    kept: Option<KeptConnection>,
    sent: u64,
}

impl Client {
    /// Sends one request, and once more on a new connection if it was refused or not answered.
    fn ask(&mut self, counts: &Counts, directory: &Directory, record: &crate::record::Record) {
        self.sent += 1;
        let is_long = (self.sent + self.number).is_multiple_of(LONG_EVERY);
        let begun = Instant::now();
        for attempt in 0..2 {
            if attempt > 0 {
                self.kept = None;
            }
            let left = DEADLINE.saturating_sub(begun.elapsed());
            let Some(mut kept) = self.connection(directory) else {
                return;
            };
            let id = format!("{:04x}{:08x}{attempt:04x}", self.number, self.sent);
            let long = if is_long {
                format!("X-Selection: {}\r\n", "s".repeat(LONG_HEADER))
            } else {
                String::new()
            };
            let request = format!(
                "GET /orders/{} HTTP/1.1\r\nHost: desk.example\r\nNutmegspread-Request-Id: {id}\r\n\
                 Nutmegspread-Deadline-Ms: {}\r\n{long}\r\n",
                self.sent,
                left.as_millis(),
            );
            counts.requests.fetch_add(1, Ordering::Relaxed);
            let sent = Instant::now();
            record.line(&format!(
                "sent {id}, {} bytes, to {}, on a connection opened {} ms ago",
                request.len(),
                kept.node,
                kept.opened.elapsed().as_millis()
            ));
            let answer = kept.ask(&request, left);
            let status = answer.as_ref().map_or(0, crate::http::Message::status);
            record.line(&format!("answered {id}: {status}"));
            let in_touch = *counts.in_touch.lock().expect("the time");
            let is_in_touch = in_touch.is_some_and(|since| sent >= since);
            if answer.as_ref().is_some_and(|answer| !answer.closes()) {
                self.kept = Some(kept);
            }
            match status {
                200 => {
                    counts.served.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                0 | 408 | 421 | 429 | 500.. => {
                    let wait = answer
                        .as_ref()
                        .and_then(|answer| answer.header("retry-after"));
                    let wait = wait.and_then(|text| text.parse().ok()).unwrap_or(0.0);
                    let left = DEADLINE.saturating_sub(begun.elapsed());
                    std::thread::sleep(Duration::from_secs_f64(wait).min(left / 3));
                }
                _ => {
                    let counter = if is_in_touch {
                        &counts.denied
                    } else {
                        &counts.denied_early
                    };
                    counter.fetch_add(1, Ordering::Relaxed);
                    return;
                }
            }
        }
    }

    /// The kept connection, or a new one to one of the known nodes.
    fn connection(&mut self, directory: &Directory) -> Option<KeptConnection> {
        if let Some(kept) = self.kept.take() {
            return Some(kept);
        }
        let addresses = directory.addresses();
        let turn = (self.number + self.sent) as usize;
        (0..addresses.len())
            .find_map(|step| KeptConnection::open(addresses[(turn + step) % addresses.len()]))
    }
}
