//! Admission of requests in the traffic thread: measures, decides, and reports.

use crate::SharedState;
use crate::traffic::open_request::OpenRequest;
use nutmegspread_tier::{
    AdmissionControl, AdmissionDecision, AdmissionRefusal, AdmissionRequest, AdmissionSettings,
    HealthOutcome, LevelWatch, RouteName, RouteTable, StatedLevel,
};
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time between two measurements of the timer's lateness.
const TICK_TIME: Duration = Duration::from_millis(20);
/// The same while there are no requests, so that a node at rest costs little.
const IDLE_TICK_TIME: Duration = Duration::from_millis(500);
/// Time after the last request from which the node is at rest.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// Time between two updates of the metrics.
const METRIC_TIME: Duration = Duration::from_millis(500);
/// Time for which a repeated request meets the same random number, so that a caller gains nothing by
/// repeating a refused request at once.
const REPEAT_TIME: Duration = Duration::from_secs(1);

/// Admission of requests in the traffic thread: measures, decides, and reports.
#[derive(Debug)]
pub struct RequestAdmission {
    shared: Arc<SharedState>,
    control: RefCell<AdmissionControl>,
    /// Configuration whose routes `control` knows.
    table: RefCell<Option<Arc<RouteTable>>>,
    /// Computes the sources of requests and the random numbers for their admission.
    hasher: RandomState,
    started: Instant,
    /// Time of the last request.
    last_request: Cell<Instant>,
}

impl RequestAdmission {
    /// Creates the state for a node that has just started.
    pub fn new(shared: Arc<SharedState>) -> Self {
        let now = Instant::now();
        Self {
            shared,
            control: RefCell::new(AdmissionControl::new(AdmissionSettings::default())),
            table: RefCell::default(),
            hasher: RandomState::new(),
            started: now,
            last_request: Cell::new(now),
        }
    }

    /// Decides whether to send a request; `None` admits it, as does a node without overload control. Logs
    /// and counts a refusal.
    pub fn refuse(
        &self,
        request: &OpenRequest,
        table: &Arc<RouteTable>,
        now: Instant,
    ) -> Option<AdmissionRefusal> {
        self.last_request.set(now);
        if !self.shared.settings.load().overload_control {
            return None;
        }
        self.apply_table(table);
        let random = self.random(request, now);
        let mut control = self.control.borrow_mut();
        let decision = control.decide(now, &self.describe(request), random);
        let AdmissionDecision::Refuse(refusal) = decision else {
            return None;
        };
        let (reason, metrics) = (refusal.missing.name(), &self.shared.metrics);
        metrics.count("requests", reason);
        metrics.count("requests_not_admitted", &request.priority.to_string());
        log::info!(event = "refused", request = request.id.as_str(), reason,
            retry_ms = refusal.retry_after.as_millis() as u64, route:% = request.route.name,
            tenant = request.tenant_name(), priority = request.priority, level = refusal.level, share = refusal.share,
            lateness_ms = control.lateness(now).as_millis() as u64,
            expected_ms = refusal.expected.map(|expected| expected.as_millis() as u64),
            time_limit_ms = request.time_limit.as_millis() as u64;
            "request refused without an attempt, as there is too little room");
        Some(refusal)
    }

    /// Records that a request has enough parts for its answer.
    pub fn record_answer(&self, request: &OpenRequest, elapsed: Duration, now: Instant) {
        let described = self.describe(request);
        self.control
            .borrow_mut()
            .record_answer(now, &described, elapsed);
    }

    /// Records the end of a request; only one without enough parts for an answer counts.
    pub fn record_end(&self, request: &OpenRequest, now: Instant) {
        let run = request.run.borrow();
        if run.answered() < run.least_parts() {
            let elapsed = now.saturating_duration_since(request.arrived);
            let described = self.describe(request);
            self.control
                .borrow_mut()
                .record_unanswered(now, &described, elapsed);
        }
    }

    /// Records the end of an attempt after `latency`, also when its request is over.
    pub fn record_attempt(
        &self,
        request: &OpenRequest,
        outcome: HealthOutcome,
        latency: Duration,
        now: Instant,
    ) {
        let described = self.describe(request);
        self.control
            .borrow_mut()
            .record_attempt(now, &described, outcome, latency);
    }

    /// The larger one of the levels of the node and of the targets of a route, from 0 to 1; 0 without
    /// overload control.
    pub fn level(&self, route: &RouteName, now: Instant) -> f64 {
        if !self.shared.settings.load().overload_control {
            return 0.0;
        }
        self.control.borrow().level(now, route)
    }

    /// Measures how late the traffic thread is, and reports the levels, for as long as the process
    /// runs.
    pub async fn watch(self: Rc<Self>) {
        let (mut own_watch, mut target_watch) = (LevelWatch::default(), LevelWatch::default());
        let mut stated_level = StatedLevel::default();
        let mut reported = self.started;
        loop {
            let is_idle = self.last_request.get().elapsed() >= IDLE_TIME;
            let tick_time = if is_idle { IDLE_TICK_TIME } else { TICK_TIME };
            let due = Instant::now() + tick_time;
            tokio::time::sleep_until(due.into()).await;
            let now = Instant::now();
            let mut control = self.control.borrow_mut();
            control.record_lateness(now, now.saturating_duration_since(due));
            let (own, targets) = (control.own_level(now), control.target_level(now));
            let stated = stated_level.update(now, own);
            self.shared.stated_level.store(stated, Ordering::Relaxed);
            let share = control.share_admitted(now);
            for (room, level, watch) in [
                ("node", own, &mut own_watch),
                ("targets", targets, &mut target_watch),
            ] {
                if let Some(is_overloaded) = watch.observe(level) {
                    log::warn!(event = "overload", room, is_overloaded, level, share,
                        lateness_ms = control.lateness(now).as_millis() as u64;
                        "the room of this node or of targets became too small or large enough");
                }
            }
            if now.saturating_duration_since(reported) >= METRIC_TIME {
                reported = now;
                self.shared.metrics.set("level_node", own);
                self.shared.metrics.set("level_targets", targets);
                self.shared.metrics.set("share_admitted", share);
            }
        }
    }

    fn apply_table(&self, table: &Arc<RouteTable>) {
        let mut known = self.table.borrow_mut();
        if !known
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, table))
        {
            self.control.borrow_mut().set_routes(table);
            *known = Some(Arc::clone(table));
        }
    }

    fn describe<'a>(&self, request: &'a OpenRequest) -> AdmissionRequest<'a> {
        // Without tenants, admission is even between routes of one priority.
        let source = match request.tenant_name() {
            Some(tenant) => self.hasher.hash_one(tenant),
            None => self.hasher.hash_one(&request.route.name),
        };
        // An answer after this time is late for the caller, as its way back takes time.
        let answer = request.run.borrow().timing().answer;
        AdmissionRequest {
            route: &request.route.name,
            priority: request.priority,
            source,
            parts: request.services.len(),
            objective: answer,
            timeout: request.route.timeout,
            time_limit: request.time_limit,
        }
    }

    /// Random number from 0 to 1, the same for requests with the same contents for a while.
    fn random(&self, request: &OpenRequest, now: Instant) -> f64 {
        let slot = now.saturating_duration_since(self.started).as_secs() / REPEAT_TIME.as_secs();
        // The contents are hashed only while they decide something.
        if !self.control.borrow().is_limited() {
            return 0.0;
        }
        let hash = self.hasher.hash_one((slot, &request.head, &request.body));
        hash as f64 / u64::MAX as f64
    }
}
