//! Admits, limits and records the requests of a searcher stand-in.

use super::{SearcherCounters, SearcherSettings};
use indexmap::IndexMap;
use nutmegspread_model::{IdempotencyKey, Incarnation, RequestId, TargetState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Largest number of request ids that are recorded.
const MAX_RECORDED_REQUESTS: usize = 1_000_000;

/// Admits requests up to the number of slots and records all requests.
pub struct WorkLedger {
    settings: SearcherSettings,
    entries: Mutex<LedgerEntries>,
}

struct LedgerEntries {
    counters: SearcherCounters,
    /// Longest time that a search of each request took; zero until one is answered.
    requests: IndexMap<RequestId, Duration>,
    /// Time at which the stand-in turned cold; `None` while it is warm.
    cold_since: Option<Instant>,
    /// Number of requests admitted and completed in the present cold phase.
    completed_cold: u32,
    /// Number of times that the stand-in turned cold again after its start.
    cold_restarts: u64,
}

/// Slot of an admitted request.
///
/// A request whose permit is dropped without a call of [`Self::complete`] counts as cancelled.
pub struct WorkPermit {
    ledger: Arc<WorkLedger>,
    others: u32,
    cold: bool,
    /// [`LedgerEntries::cold_restarts`] when the request was admitted.
    cold_restarts: u64,
    completed: bool,
}

impl WorkLedger {
    /// Creates a ledger without requests.
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

    /// Admits a request; `None` if all slots, or while cold all cold slots, are in use.
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

    /// Records a request that is shed because of a fault.
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

    /// Records an execution of an order and returns the number of executions with its key.
    pub fn record_order(&self, key: &IdempotencyKey) -> u32 {
        let mut entries = self.entries();
        entries.counters.orders += 1;
        let executions = entries.counters.executions.entry(key.clone()).or_insert(0);
        *executions += 1;
        *executions
    }

    /// Makes the stand-in cold again, with a new incarnation.
    pub fn turn_cold(&self) {
        let mut entries = self.entries();
        entries.counters.incarnation += 1;
        entries.cold_since = Some(Instant::now());
        entries.completed_cold = 0;
        entries.cold_restarts += 1;
    }

    /// Returns the present state (cold or warm) and incarnation.
    pub fn state(&self) -> (TargetState, Incarnation) {
        let entries = self.entries();
        let state = match entries.cold_since {
            Some(_) => TargetState::Cold,
            None => TargetState::Warm,
        };
        (state, entries.counters.incarnation)
    }

    /// Returns a copy of the counters, in which the counts of connections are zero.
    pub fn counters(&self) -> SearcherCounters {
        self.entries().counters.clone()
    }

    /// Returns the longest time that a search of each recorded request took, by request id.
    ///
    /// The time is zero until a search of the request is answered.
    pub fn requests(&self) -> IndexMap<RequestId, Duration> {
        self.entries().requests.clone()
    }

    /// Records the time that a search took, from the arrival of the request to its answer.
    pub fn record_time(&self, request: &RequestId, time: Duration) {
        if let Some(longest) = self.entries().requests.get_mut(request) {
            *longest = time.max(*longest);
        }
    }

    /// Clears the recorded requests and resets all counters except the incarnation, the executions
    /// of orders and the number of running requests.
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

    /// Whether a search of the request was started and recorded.
    pub fn has_started(&self, request: &str) -> bool {
        self.entries().requests.contains_key(request)
    }

    fn entries(&self) -> MutexGuard<'_, LedgerEntries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LedgerEntries {
    /// Records an arriving request, with which `concurrent` requests would run at the same time.
    ///
    /// Returns whether the stand-in is cold.
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

    /// Records a completed request; the stand-in becomes warm after `warm_after` requests that were
    /// admitted and completed in the same cold phase.
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
    /// Number of other requests that were running when this one was admitted.
    pub fn others(&self) -> u32 {
        self.others
    }

    /// Whether the stand-in was cold when this request was admitted.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Frees the slot and counts the request as completed.
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
