//! Counters of a searcher stand-in.

use indexmap::IndexMap;
use nutmegspread_model::{IdempotencyKey, Incarnation, duration_ms, time_ms};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Counts of the requests and connections of a searcher stand-in.
///
/// They start at zero; [`SearcherStandin::reset_records`](super::SearcherStandin::reset_records)
/// resets some of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearcherCounters {
    /// Present incarnation of the stand-in.
    pub incarnation: Incarnation,
    /// Number of searches and orders that were admitted or shed.
    pub arrived: u64,
    /// Number of searches started.
    pub started: u64,
    /// Number of searches and orders completed.
    pub completed: u64,
    /// Number of searches and orders that started but did not complete, because the connection
    /// closed or the deadline passed.
    pub cancelled: u64,
    /// Number of searches and orders that were shed.
    pub shed: u64,
    /// Number of orders started.
    pub orders: u64,
    /// Number of executions of each order, by its idempotency key.
    pub executions: IndexMap<IdempotencyKey, u32>,
    /// Number of requests that are running now.
    pub running: u32,
    /// Largest number of concurrent requests; an arriving request counts even if it was shed.
    pub max_concurrent: u32,
    /// Largest number of concurrent requests while the stand-in was cold; an arriving request
    /// counts even if it was shed.
    pub max_cold_concurrent: u32,
    /// Number of requests that arrived while the stand-in was cold and all cold slots were in use.
    pub cold_excess: u64,
    /// Longest time from turning cold to the arrival of a request that `cold_excess` counts, in
    /// milliseconds.
    #[serde(rename = "last_cold_excess_ms", with = "duration_ms")]
    pub last_cold_excess: Duration,
    /// Number of connections that are open now.
    pub connections: u32,
    /// Largest number of connections that were open at the same time.
    pub max_connections: u32,
    /// Number of connections accepted since the start.
    pub opened_connections: u64,
    /// Number of connections refused, because of the limit or of a fault.
    pub refused_connections: u64,
    /// Time at which a search or order was last admitted, in milliseconds since the Unix epoch.
    #[serde(rename = "last_start_ms", with = "time_ms")]
    pub last_start: SystemTime,
}

impl Default for SearcherCounters {
    fn default() -> Self {
        Self {
            incarnation: 0,
            arrived: 0,
            started: 0,
            completed: 0,
            cancelled: 0,
            shed: 0,
            orders: 0,
            executions: IndexMap::new(),
            running: 0,
            max_concurrent: 0,
            max_cold_concurrent: 0,
            cold_excess: 0,
            last_cold_excess: Duration::ZERO,
            connections: 0,
            max_connections: 0,
            opened_connections: 0,
            refused_connections: 0,
            last_start: UNIX_EPOCH,
        }
    }
}
