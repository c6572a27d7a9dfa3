//! State of the traffic thread: admits requests and starts their attempts.

use crate::traffic::attempt_sender::AttemptSender;
use crate::traffic::open_request::OpenRequest;
use crate::traffic::request_admission::RequestAdmission;
use crate::traffic::result_recorder::ResultRecorder;
use crate::traffic::route_state::RouteState;
use crate::traffic::target_attempt::{AttemptStage, TargetAttempt};
use crate::traffic::target_chooser::TargetChooser;
use crate::traffic::target_table::TargetTable;
use crate::{FleetView, SharedState};
use nutmegspread_tier::{
    AttemptReason, GatherAttempt, GatherRun, HealthOutcome, HealthSettings, RouteName, ServiceName,
    TimingSettings, return_time,
};
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Delay after the caller has left before the connections of its unanswered attempts are closed.
const CALLER_LEFT_DELAY: Duration = Duration::from_millis(250);
/// Age of an unanswered attempt above which its target counts as stalled, as a multiple of the 90th
/// percentile of the latency.
const OVERDUE_FACTOR: f64 = 1.5;

/// State of the traffic thread: admits requests and starts their attempts.
#[derive(Debug)]
pub struct TrafficState {
    /// State shared with the control thread.
    pub shared: Arc<SharedState>,
    /// Settings for judging the health of targets.
    pub health: HealthSettings,
    /// Settings for the times of hedges and answers.
    pub timing: TimingSettings,
    table: Rc<RefCell<TargetTable>>,
    results: Rc<ResultRecorder>,
    sender: Rc<AttemptSender>,
    /// Admission of requests.
    pub admission: Rc<RequestAdmission>,
    /// Number of requests in flight.
    pub open: Cell<usize>,
    /// Notified when the node has received a stop signal.
    pub stopping: Notify,
}

impl TrafficState {
    /// Creates the state for a node that has just started.
    pub fn new(shared: Arc<SharedState>) -> Self {
        let health = HealthSettings::default();
        let table = TargetTable::new(shared.view.load_full());
        let table = Rc::new(RefCell::new(table));
        let admission = Rc::new(RequestAdmission::new(Arc::clone(&shared)));
        let results = ResultRecorder::new(
            Arc::clone(&shared),
            health,
            Rc::clone(&table),
            Rc::clone(&admission),
        );
        let results = Rc::new(results);
        let sender =
            AttemptSender::new(Arc::clone(&shared), Rc::clone(&table), Rc::clone(&results));
        Self {
            shared,
            health,
            timing: TimingSettings::default(),
            table,
            results,
            sender: Rc::new(sender),
            admission,
            open: Cell::new(0),
            stopping: Notify::new(),
        }
    }

    /// Applies the newest view if it is not in use yet, and returns it.
    pub fn apply_newest_view(&self, now: Instant) -> Arc<FleetView> {
        let newest = self.shared.view.load();
        if newest.number == self.table.borrow().view.number {
            return Arc::clone(&newest);
        }
        let view = Arc::clone(&newest);
        drop(newest);
        let withdrawn = self.table.borrow_mut().apply_view(&view, &self.shared, now);
        self.sender.withdraw_work(withdrawn);
        view
    }

    /// Calls `use_route` with the state of a route, which is created if there is none.
    pub fn with_route<R>(
        &self,
        route: &RouteName,
        use_route: impl FnOnce(&mut RouteState) -> R,
    ) -> R {
        use_route(self.table.borrow_mut().route(route))
    }

    /// Counts a request towards the retry budgets of its services.
    pub fn count_request(&self, services: &[ServiceName], now: Instant) {
        let mut table = self.table.borrow_mut();
        let table = &mut *table;
        for name in services {
            table.service(name, &self.shared).budget.count_request(now);
        }
    }

    /// Whether to send a request: enough of its services are in reach, or it probes them. Updates
    /// whether this node can serve callers.
    pub fn admits(&self, request: &OpenRequest, least_parts: usize, now: Instant) -> bool {
        let silence = self.with_route(&request.route.name, |route| route.gate.silence());
        let table = self.table.borrow();
        let in_reach = request
            .services
            .iter()
            .filter(|name| table.is_in_reach(name, silence, now))
            .count();
        drop(table);
        let admits = self.with_route(&request.route.name, |route| {
            route.last_request = Some(now);
            route.gate.admits(now, in_reach, least_parts)
        });
        // The node counts as unable to serve only if no recently used route is in reach. A single
        // unreachable service may fail on all nodes, so sending callers to another node would not
        // help.
        let is_serviceable = self
            .table
            .borrow()
            .routes
            .values()
            .any(|route| route.is_open(now));
        if self.shared.record_reach(now, is_serviceable) {
            log::warn!(event = "reach", serviceable = is_serviceable,
                request = request.id.as_str(), in_reach, least = least_parts,
                route:% = request.route.name; "whether this node can serve callers changed");
        }
        admits
    }

    /// Starts the first attempts of a request; returns whether there are any.
    pub fn start(self: &Rc<Self>, request: &Rc<OpenRequest>, now: Instant) -> bool {
        let planned_attempts = self.choose(request, now, |run, chooser| run.start(chooser));
        self.start_attempts(request, &planned_attempts, now);
        !planned_attempts.is_empty()
    }

    /// Starts the hedges and retries that are due.
    pub fn advance(self: &Rc<Self>, request: &Rc<OpenRequest>, now: Instant) {
        let elapsed = now.saturating_duration_since(request.arrived);
        let planned_attempts = self.choose(request, now, |run, chooser| {
            run.due_attempts(elapsed, chooser)
        });
        self.start_attempts(request, &planned_attempts, now);
    }

    fn choose(
        &self,
        request: &OpenRequest,
        now: Instant,
        plan: impl FnOnce(&mut GatherRun, &mut TargetChooser<'_>) -> Vec<GatherAttempt>,
    ) -> Vec<GatherAttempt> {
        let table = &mut *self.table.borrow_mut();
        let mut chooser = TargetChooser {
            shared: &self.shared,
            health: &self.health,
            level: self.admission.level(&request.route.name, now),
            table,
            request,
            now,
        };
        plan(&mut request.run.borrow_mut(), &mut chooser)
    }

    /// Ends a request for its caller and withdraws its waiting attempts. If the caller has left,
    /// the connections of its unanswered attempts are closed after a delay.
    pub fn end_request(self: &Rc<Self>, request: &Rc<OpenRequest>, is_caller_gone: bool) {
        request.is_over.set(true);
        let now = Instant::now();
        let waiting: Vec<Rc<TargetAttempt>> = request
            .attempts
            .borrow()
            .iter()
            .filter(|attempt| attempt.stage.get() == AttemptStage::Waiting)
            .cloned()
            .collect();
        for attempt in waiting {
            self.results
                .end_attempt(&attempt, HealthOutcome::Cancelled, now);
        }
        if is_caller_gone && request.has_sent_attempts() {
            let (traffic, request) = (Rc::clone(self), Rc::clone(request));
            tokio::task::spawn_local(async move {
                tokio::time::sleep(CALLER_LEFT_DELAY).await;
                traffic.close_connections(&request);
            });
        }
    }

    /// Earliest time from `now` on at which enough targets for an answer may take a request, apart
    /// from their limits; `None` if there are too few.
    pub fn next_allowed(&self, request: &OpenRequest, now: Instant) -> Option<Instant> {
        let table = self.table.borrow();
        let run = request.run.borrow();
        let attempts = request.attempts.borrow();
        let mut times: Vec<Instant> = (0..request.services.len())
            .filter_map(|service| {
                let is_open = attempts.iter().any(|attempt| attempt.service == service);
                if run.is_answered(service) || is_open {
                    return Some(now);
                }
                table.next_allowed(&request.services[service], now)
            })
            .collect();
        times.sort();
        times.get(run.least_parts().saturating_sub(1)).copied()
    }

    /// Whether enough targets for an answer may take a request before its time is over.
    pub fn may_be_taken(&self, request: &OpenRequest, now: Instant) -> bool {
        let next = self.next_allowed(request, now);
        next.is_some_and(|next| next < request.end_time())
    }

    /// `Retry-After` for a request that is refused: the time until targets may take it, spread over
    /// callers; `default` if they may take it now or none is known.
    pub fn retry_after(&self, request: &OpenRequest, now: Instant, default: Duration) -> Duration {
        let next = self.next_allowed(request, now).filter(|next| *next > now);
        next.map_or(default, |next| {
            let random = self.table.borrow_mut().random.random_range(0.0..1.0);
            return_time(next - now, request.priority, random)
        })
    }

    fn start_attempts(
        self: &Rc<Self>,
        request: &Rc<OpenRequest>,
        planned_attempts: &[GatherAttempt],
        now: Instant,
    ) {
        for planned in planned_attempts {
            let mut table = self.table.borrow_mut();
            let (_, p90) = table.latency_quantiles(request);
            let cost = table.request_cost(request);
            let Some(target) = table.targets.get_mut(&planned.target) else {
                continue;
            };
            target.count_attempt(now);
            let attempt = Rc::new(TargetAttempt {
                request: Rc::clone(request),
                service: planned.service,
                target: planned.target,
                target_id: Arc::clone(&target.record.id),
                observation: target.health.start(now, cost, p90.mul_f64(OVERDUE_FACTOR)),
                cost,
                sent: Cell::new(None),
                started: now,
                stage: Cell::new(AttemptStage::Waiting),
                counted: Cell::new(None),
                connection: RefCell::default(),
            });
            request.attempts.borrow_mut().push(Rc::clone(&attempt));
            let reason = match planned.reason {
                AttemptReason::First => "first",
                AttemptReason::Hedge => "hedge",
                AttemptReason::Retry => "retry",
            };
            self.shared.metrics.count("sends", reason);
            drop(table);
            self.sender.send(attempt, now);
        }
    }

    /// Closes the connections that carry attempts of a request.
    fn close_connections(&self, request: &Rc<OpenRequest>) {
        for attempt in request.attempts.borrow().iter() {
            if let Some(connection) = attempt.connection.borrow().upgrade() {
                connection.close();
            }
        }
    }
}
