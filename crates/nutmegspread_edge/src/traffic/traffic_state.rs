//! State of the traffic thread: starts attempts, assigns them to connections and applies their
//! results.

use crate::traffic::attempt_result::AttemptResult;
use crate::traffic::open_request::OpenRequest;
use crate::traffic::reply_wishes::ReplyWishes;
use crate::traffic::route_state::RouteState;
use crate::traffic::target_attempt::{AttemptStage, TargetAttempt};
use crate::traffic::target_chooser::TargetChooser;
use crate::traffic::target_connection::{ConnectionEnd, TargetConnection, run_connection};
use crate::traffic::target_state::TargetState;
use crate::traffic::target_table::TargetTable;
use crate::{FleetView, SharedState};
use nutmegspread_tier::{
    AnswerMemory, AttemptOutcome, AttemptReason, ConnectionKey, GatherAttempt, GatherRun,
    HealthOutcome, HealthSettings, RouteName, ServiceName, TargetKey, TimingSettings, return_time,
};
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Delay after the caller has left before the connections of its unanswered attempts are closed.
const CALLER_LEFT_DELAY: Duration = Duration::from_millis(250);
/// Latency above which an answer counts as slow in the judgement of a rollout, as a multiple of the
/// median.
const SLOW_FACTOR: f64 = 2.0;
/// Age of an unanswered attempt above which its target counts as stalled, as a multiple of the 90th
/// percentile of the latency.
const OVERDUE_FACTOR: f64 = 1.5;

/// Why an attempt is withdrawn from a target that was removed, drains, or wants no requests.
const UNUSABLE: &str = "the target is no longer usable";

/// State of the traffic thread: starts attempts, assigns them to connections and applies their
/// results.
#[derive(Debug)]
pub struct TrafficState {
    /// State shared with the control thread.
    pub shared: Arc<SharedState>,
    /// Settings for judging the health of targets.
    pub health: HealthSettings,
    /// Settings for the times of hedges and answers.
    pub timing: TimingSettings,
    table: RefCell<TargetTable>,
    /// Number of requests in flight.
    pub open: Cell<usize>,
    /// Bytes of answers of all targets.
    pub held_bytes: Arc<AtomicUsize>,
    /// Limit on these bytes.
    pub memory: AnswerMemory,
    /// Notified when the node has received a stop signal.
    pub stopping: Notify,
    /// Number of connections opened so far.
    opened: Cell<ConnectionKey>,
}

impl TrafficState {
    /// Creates the state for a node that has just started.
    pub fn new(shared: Arc<SharedState>) -> Self {
        let view = shared.view.load_full();
        Self {
            shared,
            health: HealthSettings::default(),
            timing: TimingSettings::default(),
            table: RefCell::new(TargetTable::new(view)),
            open: Cell::new(0),
            held_bytes: Arc::default(),
            memory: AnswerMemory::default(),
            stopping: Notify::new(),
            opened: Cell::new(0),
        }
    }

    /// Key of a connection that was just opened.
    pub fn next_connection(&self) -> ConnectionKey {
        self.opened.set(self.opened.get() + 1);
        self.opened.get()
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
        for connection in withdrawn.connections {
            connection.close();
        }
        for attempt in withdrawn.attempts {
            self.withdraw(&attempt, UNUSABLE);
        }
        view
    }

    /// Whether this node is advertised to callers.
    pub fn is_advertised(&self) -> bool {
        self.table.borrow().view.is_named
    }

    /// Calls `use_route` with the state of a route, which is created if there is none.
    pub fn with_route<R>(
        &self,
        route: &RouteName,
        use_route: impl FnOnce(&mut RouteState) -> R,
    ) -> R {
        let mut table = self.table.borrow_mut();
        if !table.routes.contains_key(route) {
            table
                .routes
                .insert(Arc::clone(route), RouteState::default());
        }
        use_route(&mut table.routes[route])
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
        if self
            .shared
            .serviceable
            .swap(is_serviceable, Ordering::Relaxed)
            != is_serviceable
        {
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
            traffic: self,
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
            self.end_attempt(&attempt, HealthOutcome::Cancelled, now);
        }
        if is_caller_gone && request.has_sent_attempts() {
            let (traffic, request) = (Rc::clone(self), Rc::clone(request));
            tokio::task::spawn_local(async move {
                tokio::time::sleep(CALLER_LEFT_DELAY).await;
                traffic.close_connections(&request);
            });
        }
    }

    /// Sends `attempt` on a connection that was just opened. If the attempt has ended in the
    /// meantime, the next waiting one is sent instead.
    pub fn connection_opened(
        self: &Rc<Self>,
        key: TargetKey,
        connection: &Rc<TargetConnection>,
        attempt: Rc<TargetAttempt>,
        now: Instant,
    ) {
        self.shared.metrics.count("target_connections", "opened");
        let mut table = self.table.borrow_mut();
        let target = table.targets.get_mut(&key);
        if let Some(target) = target.filter(|target| target.may_send(now))
            && attempt.stage.get() == AttemptStage::Waiting
        {
            TargetConnection::send(connection, attempt, &target.record, now);
            return;
        }
        drop(table);
        self.withdraw(&attempt, UNUSABLE);
        self.connection_idle(key, connection);
    }

    /// Ends an attempt that still waits for a connection, so that its request can be sent to
    /// another target.
    fn withdraw(&self, attempt: &Rc<TargetAttempt>, reason: &str) {
        if attempt.stage.get() == AttemptStage::Waiting {
            log_attempt_end("send_withdrawn", attempt, reason);
            self.apply_result(attempt, AttemptResult::NotSent);
        }
    }

    /// Sends the next waiting attempt on a connection without one, or makes the connection idle.
    pub fn connection_idle(self: &Rc<Self>, key: TargetKey, connection: &Rc<TargetConnection>) {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let Some(target) = table.targets.get_mut(&key) else {
            connection.close();
            return;
        };
        if !target.is_usable {
            connection.close();
            return;
        }
        if connection.has_answered() {
            target.allowance.record_answer();
        }
        if target.may_send(now)
            && let Some(attempt) = target.take_waiting(connection)
        {
            TargetConnection::send(connection, attempt, &target.record, now);
            return;
        }
        target.idle.push(Rc::clone(connection));
        // What still waits may not be sent on this connection.
        if target.may_send(now) && !target.waiting.is_empty() {
            target.make_room(now);
            drop(table);
            self.open_for_next_waiting(key);
        } else {
            drop(table);
            self.withdraw_unsendable(key, now);
        }
    }

    /// Applies what a target asked in the head of an answer to the request with this id.
    pub fn apply_wishes(self: &Rc<Self>, key: TargetKey, wishes: &ReplyWishes, request: &str) {
        let now = Instant::now();
        let drain_time = self.shared.settings.load().drain_time();
        let mut table = self.table.borrow_mut();
        let Some(target) = table.targets.get_mut(&key) else {
            return;
        };
        let id = Arc::clone(&target.record.id);
        for error in &wishes.errors {
            log::warn!(event = "bad_wish", target:% = id, request, reason = error.as_str();
                "ignored a header of a target that cannot be read");
        }
        if wishes.is_leaving && target.wishes.record_leaving(now, drain_time) {
            self.shared.metrics.count("targets", "leaving");
            log::info!(event = "target_leaving", target:% = id, request,
                until_ms = drain_time.as_millis() as u64, source = "answer";
                "a target leaves; it gets no requests after the drain time");
            self.schedule_withdrawal(key, now + drain_time);
        }
        if let Some(pause) = wishes.pause
            && target.wishes.record_pause(now, pause)
        {
            self.shared.metrics.count("targets", "paused");
            log::info!(event = "target_paused", target:% = id, request,
                until_ms = pause.as_millis() as u64, source = "answer";
                "a target wants no requests for a while");
        }
        drop(table);
        self.withdraw_unsendable(key, now);
    }

    /// Withdraws the attempts that wait for a target at `at`, unless it takes them.
    fn schedule_withdrawal(self: &Rc<Self>, key: TargetKey, at: Instant) {
        let traffic = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(at.into()).await;
            traffic.withdraw_unsendable(key, Instant::now());
        });
    }

    /// Withdraws the attempts that wait for a target which takes none now, so that their requests
    /// can be sent to other targets.
    fn withdraw_unsendable(&self, key: TargetKey, now: Instant) {
        let waiting = match self.table.borrow_mut().targets.get_mut(&key) {
            Some(target) if !target.may_send(now) => std::mem::take(&mut target.waiting),
            _ => return,
        };
        for attempt in waiting {
            self.withdraw(&attempt, UNUSABLE);
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
            return_time(next - now, request.route.priority, random)
        })
    }

    /// Handles a connection that could not be opened.
    pub fn connection_failed(
        self: &Rc<Self>,
        key: TargetKey,
        attempt: &Rc<TargetAttempt>,
        end: &ConnectionEnd,
    ) {
        self.shared.metrics.count("target_connections", "failed");
        self.release_connection(key, end.is_reset);
        self.withdraw(attempt, &end.reason);
        self.open_for_next_waiting(key);
    }

    /// Handles the end of a connection, which may carry an attempt.
    pub fn connection_ended(
        self: &Rc<Self>,
        key: TargetKey,
        connection: &Rc<TargetConnection>,
        attempt: Option<Rc<TargetAttempt>>,
        end: &ConnectionEnd,
    ) {
        if let Some(target) = self.table.borrow_mut().targets.get_mut(&key) {
            target.idle.retain(|idle| !Rc::ptr_eq(idle, connection));
        }
        self.release_connection(key, end.is_reset && !connection.has_answered());
        if let Some(attempt) = attempt {
            log_attempt_end("send_broken", &attempt, &end.reason);
            self.apply_result(&attempt, AttemptResult::ConnectionLost);
        }
        self.open_for_next_waiting(key);
    }

    /// Applies the result of an attempt to its request, its target's health, and the metrics.
    pub fn apply_result(&self, attempt: &Rc<TargetAttempt>, result: AttemptResult) {
        if attempt.stage.get() == AttemptStage::Done {
            return;
        }
        let now = Instant::now();
        let (outcome, health, label) = result.outcomes();
        self.end_attempt(attempt, health, now);
        let request = &attempt.request;
        let elapsed = now.saturating_duration_since(request.arrived);
        if let AttemptResult::Reply(reply) = &result
            && outcome != AttemptOutcome::Answered
        {
            log_attempt_end(label, attempt, &format!("status {}", reply.status));
        }
        if let AttemptResult::Reply(reply) = &result
            && reply.status == 421
            && let Some(target) = self.table.borrow_mut().targets.get_mut(&attempt.target)
        {
            target.is_replaced = true;
            log::info!(event = "target_replaced", request = request.id.as_str(),
                target:% = target.record.id;
                "a different target answered at this address; sending no more attempts to it");
        }
        self.count_version_outcome(attempt, outcome, now);
        if outcome == AttemptOutcome::Answered {
            let latency = now.saturating_duration_since(attempt.started);
            self.with_route(&request.route.name, |route| route.latencies.add(latency));
        }
        self.shared.metrics.count("sends_ended", label);
        if outcome == AttemptOutcome::NotRun {
            request.was_turned_away.set(true);
        }
        if request.is_over.get() {
            return;
        }
        let is_part = request
            .run
            .borrow_mut()
            .finish(elapsed, attempt.service, outcome);
        match result {
            AttemptResult::Reply(reply) if is_part => {
                request.parts.borrow_mut()[attempt.service] = Some(reply);
            }
            AttemptResult::Reply(reply) if outcome == AttemptOutcome::Failed => {
                *request.failure.borrow_mut() = Some(reply);
            }
            _ => {}
        }
        let run = request.run.borrow();
        let may_end = elapsed >= run.timing().answer
            || run.answered() == request.services.len()
            || outcome != AttemptOutcome::Answered;
        if may_end {
            request.changed.notify_one();
        }
    }

    /// Counts the outcome of an attempt for the judgement of a rollout of its service.
    fn count_version_outcome(
        &self,
        attempt: &TargetAttempt,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let table = self.table.borrow();
        let name = &attempt.request.services[attempt.service];
        let (Some(rollout), Some(target)) = (
            table.view.rollouts.get(name),
            table.targets.get(&attempt.target),
        ) else {
            return;
        };
        if outcome == AttemptOutcome::NotRun {
            return;
        }
        let (median, _) = table.latency_quantiles(&attempt.request);
        let latency = now.saturating_duration_since(attempt.started);
        let is_new = target.record.version == rollout.version;
        let route = &attempt.request.route.name;
        self.shared
            .evidence
            .update(name, &rollout.version, route, |counts| {
                let side = if is_new {
                    &mut counts.new
                } else {
                    &mut counts.old
                };
                let has_failed = outcome == AttemptOutcome::Failed;
                side.count(has_failed, latency > median.mul_f64(SLOW_FACTOR));
            });
    }

    fn end_attempt(&self, attempt: &Rc<TargetAttempt>, outcome: HealthOutcome, now: Instant) {
        attempt.stage.set(AttemptStage::Done);
        attempt
            .request
            .attempts
            .borrow_mut()
            .retain(|open| !Rc::ptr_eq(open, attempt));
        if let Some(target) = self.table.borrow_mut().targets.get_mut(&attempt.target) {
            target
                .health
                .finish(&self.health, now, attempt.observation, outcome);
        }
    }

    fn start_attempts(
        self: &Rc<Self>,
        request: &Rc<OpenRequest>,
        planned_attempts: &[GatherAttempt],
        now: Instant,
    ) {
        for planned in planned_attempts {
            let mut table = self.table.borrow_mut();
            let (median, p90) = table.latency_quantiles(request);
            let Some(target) = table.targets.get_mut(&planned.target) else {
                continue;
            };
            target.count_attempt(now);
            let attempt = Rc::new(TargetAttempt {
                request: Rc::clone(request),
                service: planned.service,
                target: planned.target,
                target_id: Arc::clone(&target.record.id),
                observation: target
                    .health
                    .start(now, median, p90.mul_f64(OVERDUE_FACTOR)),
                started: now,
                stage: Cell::new(AttemptStage::Waiting),
                connection: RefCell::default(),
            });
            request.attempts.borrow_mut().push(Rc::clone(&attempt));
            let reason = match planned.reason {
                AttemptReason::First => "first",
                AttemptReason::Hedge => "hedge",
                AttemptReason::Retry => "retry",
            };
            self.shared.metrics.count("sends", reason);
            if let Some(connection) = target.take_idle(request, now) {
                TargetConnection::send(&connection, attempt, &target.record, now);
            } else if target.allowance.may_open(now, target.connections) {
                target.connections += 1;
                let record = Arc::clone(&target.record);
                tokio::task::spawn_local(run_connection(
                    Rc::clone(self),
                    planned.target,
                    record,
                    attempt,
                ));
            } else {
                target.make_room(now);
                target.waiting.push_back(attempt);
                self.schedule_open(planned.target, target, now);
            }
        }
    }

    /// Updates the count of connections after one has ended; `is_refused` states whether the target
    /// reset it before its first answer.
    fn release_connection(&self, key: TargetKey, is_refused: bool) {
        let mut table = self.table.borrow_mut();
        if let Some(target) = table.targets.get_mut(&key) {
            target.connections = target.connections.saturating_sub(1);
            if is_refused {
                target
                    .allowance
                    .record_reset(Instant::now(), target.connections);
                self.shared.metrics.count("target_connections", "refused");
            }
        }
        table.drop_unused(key);
    }

    /// Opens a connection for the next waiting attempt, if the limit allows it.
    fn open_for_next_waiting(self: &Rc<Self>, key: TargetKey) {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let Some(target) = table.targets.get_mut(&key) else {
            return;
        };
        target
            .waiting
            .retain(|attempt| attempt.stage.get() == AttemptStage::Waiting);
        if !target.may_send(now) {
            return;
        }
        if !target.allowance.may_open(now, target.connections) {
            self.schedule_open(key, target, now);
            return;
        }
        if let Some(attempt) = target.waiting.pop_front() {
            target.connections += 1;
            let record = Arc::clone(&target.record);
            tokio::task::spawn_local(run_connection(Rc::clone(self), key, record, attempt));
        }
    }

    /// If there is no connection and the limit imposes a delay, schedules the next connection for
    /// waiting attempts.
    fn schedule_open(self: &Rc<Self>, key: TargetKey, target: &mut TargetState, now: Instant) {
        let Some(at) = target.allowance.not_before().filter(|at| *at > now) else {
            return;
        };
        if target.connections > 0 || target.waiting.is_empty() || target.is_open_scheduled {
            return;
        }
        target.is_open_scheduled = true;
        let traffic = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(at.into()).await;
            if let Some(target) = traffic.table.borrow_mut().targets.get_mut(&key) {
                target.is_open_scheduled = false;
            }
            traffic.open_for_next_waiting(key);
        });
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

/// Logs an attempt that ended without a successful answer.
fn log_attempt_end(event: &'static str, attempt: &TargetAttempt, reason: &str) {
    log::warn!(event, request = attempt.request.id.as_str(),
        service:% = attempt.request.services[attempt.service], target:% = attempt.target_id, reason,
        connection = attempt.connection_key(),
        age_ms = attempt.started.elapsed().as_millis() as u64;
        "attempt ended without a successful answer");
}
