//! What every case needs: a store with a configuration, searchers, nodes and clients.

use crate::client::{Client, RequestKind};
use crate::node::Fleet;
use crate::record::Record;
use crate::searcher::{Searcher, SearcherSettings};
use crate::store::Store;
use std::io::Result;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Zones of the deployment.
pub const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];
/// Number of nodes of the small deployments.
pub const NODES: usize = 7;

/// Number of machines that may be added.
const SPARE_NODES: usize = 2;

/// A route of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub is_safe: bool,
    pub service: &'static str,
}

/// A running deployment.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub fleet: Fleet,
    clients: Vec<ClientGroup>,
}

/// Clients that were started together.
struct ClientGroup {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl World {
    /// Writes the configuration, and starts the searchers and the nodes.
    pub fn start(
        record: &Arc<Record>,
        routes: &[Route],
        services: &str,
        searchers: Vec<SearcherSettings>,
    ) -> Result<(Self, Vec<Arc<Searcher>>)> {
        Self::start_nodes(NODES, record, routes, services, searchers)
    }

    /// Like [`Self::start`], with this number of nodes.
    pub fn start_nodes(
        nodes: usize,
        record: &Arc<Record>,
        routes: &[Route],
        services: &str,
        searchers: Vec<SearcherSettings>,
    ) -> Result<(Self, Vec<Arc<Searcher>>)> {
        let store = Store::start(record)?;
        store.put("config", "main", &configuration(7, routes, services));
        let searchers = searchers
            .into_iter()
            .map(|settings| Searcher::start(settings, &store, record))
            .collect::<Result<Vec<_>>>()?;
        let fleet = Fleet::start((nodes, SPARE_NODES), &ZONES, store.address, record)?;
        fleet.wait_until_ready()?;
        let world = Self {
            record: Arc::clone(record),
            store,
            fleet,
            clients: Vec::new(),
        };
        Ok((world, searchers))
    }

    /// Starts `count` clients that together send `rate` requests a second. Returns the number of the group.
    pub fn start_clients(&mut self, count: usize, rate: f64, kind: RequestKind) -> usize {
        let interval = Duration::from_secs_f64(count as f64 / rate);
        let stop: Arc<AtomicBool> = Arc::default();
        let started: usize = self.clients.iter().map(|group| group.threads.len()).sum();
        let threads = (started..started + count).map(|number| {
            let mut client = Client::new(self.fleet.directories(), number, &self.record);
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || client.run(kind, interval, &stop))
        });
        let threads = threads.collect();
        self.clients.push(ClientGroup { stop, threads });
        self.clients.len() - 1
    }

    /// Has the clients of a group send no further requests.
    pub fn stop_clients(&self, group: usize) {
        self.clients[group].stop.store(true, Ordering::Relaxed);
    }

    /// Stops the clients, and ends the nodes.
    pub fn close(self) {
        for group in 0..self.clients.len() {
            self.stop_clients(group);
        }
        for thread in self.clients.into_iter().flat_map(|group| group.threads) {
            // A client that panicked has shown why.
            let _ = thread.join();
        }
        if let Ok(folder) = std::env::var("KEEP_LOGS")
            && let Err(error) = self.fleet.keep_logs(folder.as_ref())
        {
            eprintln!("cannot keep the logs of the nodes: {error}");
        }
        drop(self.fleet);
        self.record.flush();
    }
}

/// Encodes a version of the configuration; `services` are the entries of its services.
pub fn configuration(version: u64, routes: &[Route], services: &str) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let kind = if route.is_safe { "safe" } else { "unsafe" };
            format!(
                "{{\"name\":\"{}\",\"host\":\"shops.example\",\"pathPrefix\":\"{}\",\"kind\":\"{kind}\",\
                 \"timeoutMs\":6000,\"targetLatencyMs\":400,\"priority\":2,\"service\":\"{}\",\
                 \"maxAttempts\":2}}",
                route.name, route.prefix, route.service
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{services}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// Entry of a service in the configuration, whose searchers are cold for `cold_s` after their start and
/// then tolerate `cold_per_s` requests a second; 0 means no limit.
pub fn service(name: &str, cold_s: f64, cold_per_s: f64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":100,\
         \"protocol\":\"h1\",\"tls\":false,\"warmupS\":{cold_s:.1},\"warmupPerS\":{cold_per_s:.1}}}"
    )
}

/// Sleeps until a time of the record.
pub fn sleep_until(record: &Record, at: Duration) {
    std::thread::sleep(at.saturating_sub(record.now()));
}
