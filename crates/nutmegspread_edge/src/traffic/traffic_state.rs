//! Everything that the traffic thread knows.

use crate::traffic::job_end::JobEnd;
use crate::traffic::open_request::OpenRequest;
use crate::traffic::route_state::RouteState;
use crate::traffic::send_job::{JobStage, SendJob};
use crate::traffic::target_chooser::TargetChooser;
use crate::traffic::target_connection::{ConnectionEnd, TargetConnection, run_connection};
use crate::traffic::target_state::TargetState;
use crate::traffic::target_table::TargetTable;
use crate::{FleetView, SharedState};
use nutmegspread_tier::{
    AttemptOutcome, AttemptReason, GatherAttempt, GatherRun, HealthOutcome, HealthSettings,
    RepeatRule, RouteName, ServiceName, TargetKey, TimingSettings,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time after the caller left at which sends without an answer are broken off.
const LEFT_PAUSE: Duration = Duration::from_millis(250);
/// Idle time up to which a connection carries requests that run at most once.
const RECENT_USE: Duration = Duration::from_millis(150);
/// Latency past which an answer counts as slow against its version, in usual latencies.
const SLOW_FACTOR: f64 = 2.0;
/// Latency past which a target counts as paused, in usual high latencies.
const OVERDUE_FACTOR: f64 = 1.5;

/// Everything that the traffic thread knows.
#[derive(Debug)]
pub struct TrafficState {
    /// What the threads share.
    pub shared: Arc<SharedState>,
    /// How targets are judged.
    pub health: HealthSettings,
    /// When answers and second sends go out.
    pub timing: TimingSettings,
    table: RefCell<TargetTable>,
    /// Requests in flight.
    pub open: Cell<usize>,
}

impl TrafficState {
    /// Starts with nothing known.
    pub fn new(shared: Arc<SharedState>) -> Self {
        let view = shared.view.load_full();
        Self {
            shared,
            health: HealthSettings::default(),
            timing: TimingSettings::default(),
            table: RefCell::new(TargetTable::new(view)),
            open: Cell::new(0),
        }
    }

    /// Takes the newest view over, if it is newer than the one in use, and returns it.
    pub fn newest_view(&self, now: Instant) -> Arc<FleetView> {
        let newest = self.shared.view.load();
        if newest.number == self.table.borrow().view.number {
            return Arc::clone(&newest);
        }
        let view = Arc::clone(&newest);
        drop(newest);
        let remains = self.table.borrow_mut().apply_view(&view, &self.shared, now);
        for connection in remains.connections {
            connection.close();
        }
        for job in remains.jobs {
            self.withdraw(&job, "the target must get nothing more");
        }
        view
    }

    /// Whether callers are sent to this node.
    pub fn is_named(&self) -> bool {
        self.table.borrow().view.is_named
    }

    /// Runs `look` on what the node has seen of a route.
    pub fn with_route<R>(&self, route: &RouteName, look: impl FnOnce(&mut RouteState) -> R) -> R {
        let mut table = self.table.borrow_mut();
        if !table.routes.contains_key(route) {
            table
                .routes
                .insert(Arc::clone(route), RouteState::default());
        }
        look(&mut table.routes[route])
    }

    /// Counts a request that is about to be sent to its services.
    pub fn count_request(&self, services: &[ServiceName], now: Instant) {
        let mut table = self.table.borrow_mut();
        let table = &mut *table;
        for name in services {
            table.service(name, &self.shared).budget.count_request(now);
        }
    }

    /// Whether enough services of a request are in reach to take it.
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
            route.asked = Some(now);
            route.gate.admits(now, in_reach, least_parts)
        });
        // A service that is out everywhere is no reason to send callers elsewhere.
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
                route:% = request.route.name; "what is in reach decides on requests");
        }
        admits
    }

    /// Chooses and starts the first sends; returns whether there are any.
    pub fn start(self: &Rc<Self>, request: &Rc<OpenRequest>, now: Instant) -> bool {
        let sends = self.choose(request, now, |run, chooser| run.start(chooser));
        self.carry_out(request, &sends, now);
        !sends.is_empty()
    }

    /// Starts the sends that are due.
    pub fn advance(self: &Rc<Self>, request: &Rc<OpenRequest>, now: Instant) {
        let elapsed = now.saturating_duration_since(request.arrived);
        let sends = self.choose(request, now, |run, chooser| {
            run.due_attempts(elapsed, chooser)
        });
        self.carry_out(request, &sends, now);
    }

    fn choose(
        &self,
        request: &OpenRequest,
        now: Instant,
        sends: impl FnOnce(&mut GatherRun, &mut TargetChooser<'_>) -> Vec<GatherAttempt>,
    ) -> Vec<GatherAttempt> {
        let table = &mut *self.table.borrow_mut();
        let mut chooser = TargetChooser {
            traffic: self,
            table,
            request,
            now,
        };
        sends(&mut request.run.borrow_mut(), &mut chooser)
    }

    /// Ends a request for its caller; `has_left` says that the caller broke off.
    pub fn end_request(self: &Rc<Self>, request: &Rc<OpenRequest>, has_left: bool) {
        request.is_over.set(true);
        let now = Instant::now();
        let waiting: Vec<Rc<SendJob>> = request
            .jobs
            .borrow()
            .iter()
            .filter(|job| job.stage.get() == JobStage::Waiting)
            .cloned()
            .collect();
        for job in waiting {
            self.finish_job(&job, HealthOutcome::Cancelled, now);
        }
        if has_left && request.has_sent_jobs() {
            let (traffic, request) = (Rc::clone(self), Rc::clone(request));
            tokio::task::spawn_local(async move {
                tokio::time::sleep(LEFT_PAUSE).await;
                traffic.break_off(&request);
            });
        }
    }

    /// A connection is open; it takes `job` or the next one that waits.
    pub fn connection_opened(
        &self,
        key: TargetKey,
        connection: &Rc<TargetConnection>,
        job: Rc<SendJob>,
        now: Instant,
    ) {
        self.shared.metrics.count("target_connections", "opened");
        let mut table = self.table.borrow_mut();
        let target = table.targets.get_mut(&key);
        if let Some(target) = target.filter(|target| target.is_usable)
            && job.stage.get() == JobStage::Waiting
        {
            TargetConnection::send(connection, job, &target.record, now);
            return;
        }
        drop(table);
        self.withdraw(&job, "the target must get nothing more");
        self.connection_idle(key, connection);
    }

    /// Ends a send of which nothing was written, so that its request can go elsewhere.
    fn withdraw(&self, job: &Rc<SendJob>, reason: &str) {
        if job.stage.get() == JobStage::Waiting {
            log_send("send_withdrawn", job, reason);
            self.job_ended(job, JobEnd::NotSent);
        }
    }

    /// A connection has no request; it takes the next one that waits.
    pub fn connection_idle(&self, key: TargetKey, connection: &Rc<TargetConnection>) {
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
        while let Some(job) = target.waiting.pop_front() {
            if job.stage.get() == JobStage::Waiting {
                TargetConnection::send(connection, job, &target.record, now);
                return;
            }
        }
        target.idle.push(Rc::clone(connection));
    }

    /// A connection could not be opened.
    pub fn connection_failed(
        self: &Rc<Self>,
        key: TargetKey,
        job: &Rc<SendJob>,
        end: &ConnectionEnd,
    ) {
        self.shared.metrics.count("target_connections", "failed");
        self.release_connection(key, end.is_reset);
        self.withdraw(job, &end.reason);
        self.open_for_waiting(key);
    }

    /// A connection is gone.
    pub fn connection_ended(
        self: &Rc<Self>,
        key: TargetKey,
        connection: &Rc<TargetConnection>,
        job: Option<Rc<SendJob>>,
        end: &ConnectionEnd,
    ) {
        if let Some(target) = self.table.borrow_mut().targets.get_mut(&key) {
            target.idle.retain(|idle| !Rc::ptr_eq(idle, connection));
        }
        self.release_connection(key, end.is_reset && !connection.has_answered());
        if let Some(job) = job {
            log_send("send_broken", &job, &end.reason);
            self.job_ended(&job, JobEnd::Broken);
        }
        self.open_for_waiting(key);
    }

    /// Takes the end of a send over into its request and the target's observations.
    pub fn job_ended(&self, job: &Rc<SendJob>, end: JobEnd) {
        if job.stage.get() == JobStage::Done {
            return;
        }
        let now = Instant::now();
        let (outcome, health, reason) = end.judge();
        self.finish_job(job, health, now);
        let request = &job.request;
        let elapsed = now.saturating_duration_since(request.arrived);
        if let JobEnd::Reply(reply) = &end
            && outcome != AttemptOutcome::Answered
        {
            log_send(reason, job, &format!("status {}", reply.status));
        }
        if let JobEnd::Reply(reply) = &end
            && reply.status == 421
            && let Some(target) = self.table.borrow_mut().targets.get_mut(&job.target)
        {
            target.is_replaced = true;
            log::info!(event = "target_replaced", request = request.id.as_str(),
                target:% = target.record.id; "another target answers at the address");
        }
        self.note_version(job, outcome, now);
        if outcome == AttemptOutcome::Answered {
            let latency = now.saturating_duration_since(job.started);
            self.with_route(&request.route.name, |route| route.latencies.add(latency));
        }
        self.shared.metrics.count("sends_ended", reason);
        if request.is_over.get() {
            return;
        }
        let is_part = request
            .run
            .borrow_mut()
            .finish(elapsed, job.service, outcome);
        match end {
            JobEnd::Reply(reply) if is_part => {
                request.parts.borrow_mut()[job.service] = Some(reply);
            }
            JobEnd::Reply(reply) if outcome == AttemptOutcome::Failed => {
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

    /// Counts the end of a send to a service that moves to another version.
    fn note_version(&self, job: &SendJob, outcome: AttemptOutcome, now: Instant) {
        let table = self.table.borrow();
        let name = &job.request.services[job.service];
        let (Some(rollout), Some(target)) = (
            table.view.rollouts.get(name),
            table.targets.get(&job.target),
        ) else {
            return;
        };
        if outcome == AttemptOutcome::NotRun {
            return;
        }
        let (usual, _) = table.usual_latency(&job.request);
        let latency = now.saturating_duration_since(job.started);
        let is_new = target.record.version == rollout.version;
        let route = &job.request.route.name;
        self.shared
            .evidence
            .update(name, &rollout.version, route, |counts| {
                let side = if is_new {
                    &mut counts.new
                } else {
                    &mut counts.old
                };
                let has_failed = outcome == AttemptOutcome::Failed;
                side.count(has_failed, latency > usual.mul_f64(SLOW_FACTOR));
            });
    }

    fn finish_job(&self, job: &Rc<SendJob>, outcome: HealthOutcome, now: Instant) {
        job.stage.set(JobStage::Done);
        job.request
            .jobs
            .borrow_mut()
            .retain(|open| !Rc::ptr_eq(open, job));
        if let Some(target) = self.table.borrow_mut().targets.get_mut(&job.target) {
            target
                .health
                .finish(&self.health, now, job.observation, outcome);
        }
    }

    fn carry_out(
        self: &Rc<Self>,
        request: &Rc<OpenRequest>,
        sends: &[GatherAttempt],
        now: Instant,
    ) {
        for send in sends {
            let mut table = self.table.borrow_mut();
            let (usual, high) = table.usual_latency(request);
            let Some(target) = table.targets.get_mut(&send.target) else {
                continue;
            };
            target.count_send(now);
            let job = Rc::new(SendJob {
                request: Rc::clone(request),
                service: send.service,
                target: send.target,
                target_id: Arc::clone(&target.record.id),
                observation: target
                    .health
                    .start(now, usual, high.mul_f64(OVERDUE_FACTOR)),
                started: now,
                stage: Cell::new(JobStage::Waiting),
                connection: RefCell::default(),
            });
            request.jobs.borrow_mut().push(Rc::clone(&job));
            let reason = match send.reason {
                AttemptReason::First => "first",
                AttemptReason::Hedge => "hedge",
                AttemptReason::Retry => "retry",
            };
            self.shared.metrics.count("sends", reason);
            if let Some(connection) = usable_connection(target, request.repeat, now) {
                TargetConnection::send(&connection, job, &target.record, now);
            } else if target.allowance.may_open(now, target.connections) {
                target.connections += 1;
                let record = Arc::clone(&target.record);
                tokio::task::spawn_local(run_connection(Rc::clone(self), send.target, record, job));
            } else {
                target.waiting.push_back(job);
                self.open_later(send.target, target, now);
            }
        }
    }

    /// Counts a connection that is gone; `is_refused` says that the target had no room for it.
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

    /// Opens a connection for a send that waits, if there is room for one.
    fn open_for_waiting(self: &Rc<Self>, key: TargetKey) {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let Some(target) = table.targets.get_mut(&key) else {
            return;
        };
        target
            .waiting
            .retain(|job| job.stage.get() == JobStage::Waiting);
        if !target.allowance.may_open(now, target.connections) {
            self.open_later(key, target, now);
            return;
        }
        if let Some(job) = target.waiting.pop_front() {
            target.connections += 1;
            let record = Arc::clone(&target.record);
            tokio::task::spawn_local(run_connection(Rc::clone(self), key, record, job));
        }
    }

    /// Looks again for sends that wait once a connection may be opened, where there is none.
    fn open_later(self: &Rc<Self>, key: TargetKey, target: &mut TargetState, now: Instant) {
        let Some(at) = target.allowance.not_before().filter(|at| *at > now) else {
            return;
        };
        if target.connections > 0 || target.waiting.is_empty() || target.opens_later {
            return;
        }
        target.opens_later = true;
        let traffic = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(at.into()).await;
            if let Some(target) = traffic.table.borrow_mut().targets.get_mut(&key) {
                target.opens_later = false;
            }
            traffic.open_for_waiting(key);
        });
    }

    /// Closes the connections on which sends of a request are at work.
    fn break_off(&self, request: &Rc<OpenRequest>) {
        for job in request.jobs.borrow().iter() {
            if let Some(connection) = job.connection.borrow().upgrade() {
                connection.close();
            }
        }
    }
}

/// The most recently used connection that may be used, which lets the others grow old.
///
/// A target may have forgotten an idle connection, and a request that is lost on one may have run.
/// Requests that run at most once therefore go out on connections that were used a moment ago.
fn usable_connection(
    target: &mut TargetState,
    repeat: RepeatRule,
    now: Instant,
) -> Option<Rc<TargetConnection>> {
    while let Some(connection) = target.idle.pop() {
        let is_recent = repeat == RepeatRule::Idempotent || connection.idle_time(now) < RECENT_USE;
        if connection.is_usable(now) && is_recent {
            return Some(connection);
        }
        if connection.is_usable(now) && target.allowance.may_open(now, target.connections) {
            // It stays for requests that may be repeated.
            target.idle.push(connection);
            return None;
        }
        connection.close();
    }
    None
}

/// One line on a send that brought nothing.
fn log_send(event: &'static str, job: &SendJob, reason: &str) {
    log::warn!(event, request = job.request.id.as_str(),
        service:% = job.request.services[job.service], target:% = job.target_id, reason,
        age_ms = job.started.elapsed().as_millis() as u64; "a send brought no answer");
}
