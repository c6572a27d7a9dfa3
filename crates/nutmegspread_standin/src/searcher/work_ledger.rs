//! Slots, cold start and records of a searcher stand-in.

use super::{SearcherCounters, SearcherSettings};
use indexmap::IndexMap;
use nutmegspread_model::{IdempotencyKey, Incarnation, RequestId, TargetState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Most request ids that are recorded.
const MAX_RECORDED_REQUESTS: usize = 1_000_000;

/// Admits work within the limits and records all of it.
pub struct WorkLedger {
    settings: SearcherSettings,
    entries: Mutex<LedgerEntries>,
}

struct LedgerEntries {
    counters: SearcherCounters,
    requests: IndexMap<RequestId, Duration>,
    cold_since: Option<Instant>,
    completed_cold: u32,
    cold_restarts: u64,
}

/// A slot held by one request; dropped before `complete`, the request counts as cancelled.
pub struct WorkPermit {
    ledger: Arc<WorkLedger>,
    others: u32,
    cold: bool,
    cold_restarts: u64,
    completed: bool,
}

impl WorkLedger {
    /// An empty ledger.
    pub fn new(settings: SearcherSettings) -> Self {
        let counters = SearcherCounters {
            incarnation: settings.incarnation,
            ..Default::default()
        };
        let cold_since = settings.starts_cold.then(Instant::now);
        let entries = Mutex::new(LedgerEntries {
            counters,
            requests: IndexMap::new(),
            cold_since,
            completed_cold: 0,
            cold_restarts: 0,
        });
        Self { settings, entries }
    }

    /// Takes a slot, or `None` when all slots of the present state are taken.
    pub fn admit(self: &Arc<Self>) -> Option<WorkPermit> {
        let mut entries = self.entries();
        entries.counters.arrived += 1;
        let others = entries.counters.running;
        let cold = entries.record_arrival(others + 1, self.settings.cold_slots);
        let limit = if cold {
            self.settings.cold_slots
        } else {
            self.settings.slots
        };
        if others >= limit {
            entries.counters.shed += 1;
            return None;
        }
        entries.counters.running += 1;
        entries.counters.last_start = SystemTime::now();
        let cold_restarts = entries.cold_restarts;
        Some(WorkPermit {
            ledger: Arc::clone(self),
            others,
            cold,
            cold_restarts,
            completed: false,
        })
    }

    /// Records a request that is refused whatever the load.
    pub fn record_shed(&self) {
        let mut entries = self.entries();
        entries.counters.arrived += 1;
        entries.counters.shed += 1;
    }

    /// Records the start of a search.
    pub fn record_search(&self, request: &RequestId) {
        let mut entries = self.entries();
        entries.counters.started += 1;
        if self.settings.records_requests && entries.requests.len() < MAX_RECORDED_REQUESTS {
            entries.requests.entry(request.clone()).or_default();
        }
    }

    /// Records the execution of an order and returns how often its key has run.
    pub fn record_order(&self, key: &IdempotencyKey) -> u32 {
        let mut entries = self.entries();
        entries.counters.orders += 1;
        let executions = entries.counters.executions.entry(key.clone()).or_insert(0);
        *executions += 1;
        *executions
    }

    /// Turns cold, with a new incarnation.
    pub fn turn_cold(&self) {
        let mut entries = self.entries();
        entries.counters.incarnation += 1;
        entries.cold_since = Some(Instant::now());
        entries.completed_cold = 0;
        entries.cold_restarts += 1;
    }

    /// Present state and incarnation.
    pub fn state(&self) -> (TargetState, Incarnation) {
        let entries = self.entries();
        let state = match entries.cold_since {
            Some(_) => TargetState::Cold,
            None => TargetState::Warm,
        };
        (state, entries.counters.incarnation)
    }

    /// Copy of the counters; those of connections stay empty.
    pub fn counters(&self) -> SearcherCounters {
        self.entries().counters.clone()
    }

    /// Time taken by each request of which a search was started; zero until it completes.
    pub fn requests(&self) -> IndexMap<RequestId, Duration> {
        self.entries().requests.clone()
    }

    /// Records the time that a completed search took.
    pub fn record_time(&self, request: &RequestId, time: Duration) {
        if let Some(longest) = self.entries().requests.get_mut(request) {
            *longest = time.max(*longest);
        }
    }

    /// Forgets all records but the executions of orders and the work in progress.
    pub fn reset(&self) {
        let mut entries = self.entries();
        let counters = &mut entries.counters;
        *counters = SearcherCounters {
            incarnation: counters.incarnation,
            running: counters.running,
            executions: std::mem::take(&mut counters.executions),
            ..Default::default()
        };
        entries.requests.clear();
    }

    /// Whether a search of a request was started.
    pub fn has_started(&self, request: &str) -> bool {
        self.entries().requests.contains_key(request)
    }

    fn entries(&self) -> MutexGuard<'_, LedgerEntries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LedgerEntries {
    fn record_arrival(&mut self, concurrent: u32, cold_slots: u32) -> bool {
        self.counters.max_concurrent = self.counters.max_concurrent.max(concurrent);
        let Some(since) = self.cold_since else {
            return false;
        };
        self.counters.max_cold_concurrent = self.counters.max_cold_concurrent.max(concurrent);
        if concurrent > cold_slots {
            self.counters.cold_excess += 1;
            self.counters.last_cold_excess = self.counters.last_cold_excess.max(since.elapsed());
        }
        true
    }

    fn record_completion(&mut self, cold_restarts: u64, warm_after: u32) {
        self.counters.completed += 1;
        if self.cold_since.is_none() || cold_restarts != self.cold_restarts {
            return;
        }
        self.completed_cold += 1;
        if self.completed_cold >= warm_after {
            self.cold_since = None;
        }
    }
}

impl WorkPermit {
    /// Other requests at work when this one started.
    pub fn others(&self) -> u32 {
        self.others
    }

    /// Whether the searcher was cold when this request started.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Ends the request with its work done.
    pub fn complete(mut self) {
        self.completed = true;
    }
}

impl Drop for WorkPermit {
    fn drop(&mut self) {
        let mut entries = self.ledger.entries();
        entries.counters.running -= 1;
        if self.completed {
            entries.record_completion(self.cold_restarts, self.ledger.settings.warm_after);
        } else {
            entries.counters.cancelled += 1;
        }
    }
}
