//! How one searcher stand-in behaves when nothing is wrong.

use indexmap::IndexSet;
use nutmegspread_model::{Incarnation, ServiceName, SnapshotId, VersionName};
use std::time::Duration;

/// Identity, limits and speed of a searcher stand-in.
#[derive(Clone, Debug)]
pub struct SearcherSettings {
    /// IP address and port to listen on; port 0 takes a free one.
    pub listen: String,
    /// Address of a second listener for faults and records, outside the connection limit.
    pub control_listen: Option<String>,
    /// Service that it serves.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: VersionName,
    /// Number of its process start.
    pub incarnation: Incarnation,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Time for a new connection; connections are set up one after the other.
    pub connection_cost: Duration,
    /// Requests at a time while cold.
    pub cold_slots: u32,
    /// Completed requests after which it is warm.
    pub warm_after: u32,
    /// Whether it starts cold.
    pub starts_cold: bool,
    /// Factor on the service time while cold.
    pub cold_factor: f64,
    /// Median service time.
    pub median_service_time: Duration,
    /// Standard deviation of the logarithm of the service time.
    pub service_time_spread: f64,
    /// One-way network delay, added before the work and after it.
    pub network_delay: Duration,
    /// Snapshots that it holds; it answers for any when empty.
    pub snapshots: IndexSet<SnapshotId>,
    /// Documents in each shard.
    pub documents: u32,
    /// Whether it records the id of every request that it started.
    pub records_requests: bool,
    /// Seed of the service times and of random faults.
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
