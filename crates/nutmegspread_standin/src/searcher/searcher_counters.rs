//! Records of one searcher stand-in.

use indexmap::IndexMap;
use nutmegspread_model::{IdempotencyKey, Incarnation, duration_ms, time_ms};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What a searcher stand-in has seen since its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearcherCounters {
    /// Present incarnation.
    pub incarnation: Incarnation,
    /// Searches that arrived.
    pub arrived: u64,
    /// Searches started.
    pub started: u64,
    /// Searches completed.
    pub completed: u64,
    /// Searches stopped because the connection closed.
    pub cancelled: u64,
    /// Requests refused before their start.
    pub shed: u64,
    /// Orders started.
    pub orders: u64,
    /// Executions by order key.
    pub executions: IndexMap<IdempotencyKey, u32>,
    /// Requests at work now.
    pub running: u32,
    /// Most requests asked for at a time, those refused included.
    pub max_concurrent: u32,
    /// Most requests asked for at a time while cold, those refused included.
    pub max_cold_concurrent: u32,
    /// Requests that arrived above the cold limit while cold.
    pub cold_excess: u64,
    /// Longest time from turning cold to a request above the cold limit, in milliseconds.
    #[serde(rename = "last_cold_excess_ms", with = "duration_ms")]
    pub last_cold_excess: Duration,
    /// Connections open now.
    pub connections: u32,
    /// Most connections open at a time.
    pub max_connections: u32,
    /// Connections accepted in all.
    pub opened_connections: u64,
    /// Connections closed at once, above the limit or by a fault.
    pub refused_connections: u64,
    /// Time of the last start of a search or order, in milliseconds since the Unix epoch.
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
