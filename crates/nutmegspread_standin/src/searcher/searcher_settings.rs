//! Settings of a searcher stand-in.

use indexmap::IndexSet;
use nutmegspread_model::{Incarnation, ServiceName, SnapshotId, VersionName};
use std::time::Duration;

/// Identity, limits and speed of a searcher stand-in that simulates no fault.
#[derive(Clone, Debug)]
pub struct SearcherSettings {
    /// Address to listen on as `IP:PORT`; with port 0 the system chooses a free port.
    pub listen: String,
    /// Address of a second listener for faults and records, whose connections are not limited.
    pub control_listen: Option<String>,
    /// Name of the service to which the stand-in belongs.
    pub service: ServiceName,
    /// Version that the stand-in reports.
    pub version: VersionName,
    /// Incarnation that the stand-in reports; it increases each time the stand-in turns cold again.
    pub incarnation: Incarnation,
    /// Largest number of concurrent requests.
    pub slots: u32,
    /// Largest number of open connections.
    pub connections: u32,
    /// Time to set up a new connection; the stand-in sets up one connection at a time.
    pub connection_cost: Duration,
    /// Largest number of concurrent requests while the stand-in is cold.
    pub cold_slots: u32,
    /// Number of completed requests after which a cold stand-in becomes warm.
    pub warm_after: u32,
    /// Whether the stand-in is cold when it starts.
    pub starts_cold: bool,
    /// Factor by which the service time is multiplied while the stand-in is cold.
    pub cold_factor: f64,
    /// Median of the service time.
    pub median_service_time: Duration,
    /// Standard deviation of the logarithm of the service time.
    pub service_time_spread: f64,
    /// Simulated one-way network delay, added before and after the service time.
    pub network_delay: Duration,
    /// Snapshots that the stand-in holds; when empty, it answers searches of any snapshot.
    pub snapshots: IndexSet<SnapshotId>,
    /// Number of documents in each shard.
    pub documents: u32,
    /// Whether the stand-in records the id of every request of which it starts a search.
    pub records_requests: bool,
    /// Seed of the random service times and faults.
    pub seed: u64,
}

impl Default for SearcherSettings {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".into(),
            control_listen: None,
            service: "counter-desk".into(),
            version: "1".into(),
            incarnation: 1,
            slots: 2,
            connections: 25,
            connection_cost: Duration::from_millis(6),
            cold_slots: 1,
            warm_after: 50,
            starts_cold: false,
            cold_factor: 3.0,
            median_service_time: Duration::from_millis(4),
            service_time_spread: 0.4,
            network_delay: Duration::ZERO,
            snapshots: IndexSet::new(),
            documents: 32,
            records_requests: true,
            seed: 1,
        }
    }
}
