//! State that all connections of a searcher stand-in share.

use super::connection_limiter::ConnectionLimiter;
use super::random_draws::RandomDraws;
use super::work_ledger::WorkLedger;
use super::{FaultSettings, SearcherCounters, SearcherSettings};
use std::sync::{Arc, Mutex, PoisonError};

/// Settings, limits, faults and records of one searcher stand-in.
pub struct SearcherState {
    /// How it behaves when nothing is wrong.
    pub settings: SearcherSettings,
    /// Connections.
    pub connections: Arc<ConnectionLimiter>,
    /// Slots and records.
    pub work: Arc<WorkLedger>,
    /// Service times.
    pub draws: RandomDraws,
    faults: Mutex<FaultSettings>,
}

impl SearcherState {
    /// State of a stand-in that has seen nothing yet.
    pub fn new(settings: SearcherSettings) -> Self {
        let limiter = ConnectionLimiter::new(settings.connections, settings.connection_cost);
        let draws = RandomDraws::new(
            settings.median_service_time,
            settings.service_time_spread,
            settings.seed,
        );
        let ledger = WorkLedger::new(settings.clone());
        Self {
            settings,
            connections: Arc::new(limiter),
            work: Arc::new(ledger),
            draws,
            faults: Mutex::new(FaultSettings::default()),
        }
    }

    /// Replaces all faults.
    pub fn set_faults(&self, settings: FaultSettings) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = settings;
    }

    /// Faults in force, whatever their route.
    pub fn faults(&self) -> FaultSettings {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Faults in force on a route.
    pub fn faults_on(&self, route: &str) -> FaultSettings {
        let faults = self.faults();
        match &faults.route {
            Some(fault_route) if **fault_route != *route => FaultSettings::default(),
            _ => faults,
        }
    }

    /// All counters.
    pub fn counters(&self) -> SearcherCounters {
        SearcherCounters {
            connections: self.connections.open_count(),
            max_connections: self.connections.max_open_count(),
            opened_connections: self.connections.accepted_count(),
            refused_connections: self.connections.refused_count(),
            ..self.work.counters()
        }
    }
}
