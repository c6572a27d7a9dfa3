//! State of a searcher stand-in, shared by its connections.

use super::connection_limiter::ConnectionLimiter;
use super::random_draws::RandomDraws;
use super::work_ledger::WorkLedger;
use super::{FaultSettings, SearcherCounters, SearcherSettings};
use std::sync::{Arc, Mutex, PoisonError};

/// Settings, limits, faults and records of one searcher stand-in.
pub struct SearcherState {
    /// Identity, limits and speed of the stand-in.
    pub settings: SearcherSettings,
    /// Limits and counts connections.
    pub connections: Arc<ConnectionLimiter>,
    /// Admits requests and records them.
    pub work: Arc<WorkLedger>,
    /// Draws service times and random faults.
    pub draws: RandomDraws,
    faults: Mutex<FaultSettings>,
}

impl SearcherState {
    /// Creates the state of a stand-in that has received no request and simulates no fault.
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

    /// Returns the faults that are simulated now, without regard to [`FaultSettings::route`].
    pub fn faults(&self) -> FaultSettings {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the faults that are simulated for searches of a route.
    pub fn faults_on(&self, route: &str) -> FaultSettings {
        let faults = self.faults();
        match &faults.route {
            Some(fault_route) if **fault_route != *route => FaultSettings::default(),
            _ => faults,
        }
    }

    /// Returns a copy of the counters of requests and connections.
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
