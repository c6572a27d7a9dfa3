//! Everything that the traffic thread knows.

use crate::traffic::open_request::OpenRequest;
use crate::traffic::route_state::RouteState;
use crate::traffic::send_job::{JobStage, SendJob};
use crate::traffic::target_connection::{ConnectionEnd, TargetConnection, run_connection};
use crate::traffic::target_reply::TargetReply;
use crate::traffic::target_state::TargetState;
use crate::{FleetView, SharedState};
use indexmap::IndexMap;
use nutmegspread_tier::{
    ColdAllowance, ConnectionAllowance, GatherSend, HealthOutcome, HealthSettings, LatencyWindow,
    RepeatRule, RetryBudget, RetryBudgetSettings, RouteName, SendChooser, SendOutcome, SendReason,
    ServiceGate, ServiceName, TargetCandidate, TargetHealth, TargetId, TargetKey, TargetRecord,
    TimingSettings, choose_target,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Part of the extra sends for each request that is used; lost counts take the rest.
const RATIO_SHARE: f64 = 0.9;
/// Part of the extra sends without any request that is used; a node that is started again within
/// the window has forgotten what it used and gets its part anew.
const SLACK_SHARE: f64 = 0.5;
/// Part of the budget that second sends on mere suspicion may use.
const HEDGE_SHARE: f64 = 0.9;
/// Part of a target's connection limit that all nodes together use; those of nodes that lost power
/// count on for a while.
const CONNECTION_SHARE: f64 = 0.6;
/// Part of a cold target's limit that all nodes together use.
const COLD_SHARE: f64 = 0.7;
/// Time after the caller left at which sends without an answer are broken off.
const LEFT_PAUSE: Duration = Duration::from_millis(250);
/// Idle time up to which a connection carries requests that run at most once.
const RECENT_USE: Duration = Duration::from_millis(150);
/// Random part of a target's cost, which spreads equal choices.
const COST_JITTER: f64 = 0.1;
/// Usual latency before any is known, as a share of the objective.
const UNKNOWN_LATENCY: f64 = 0.2;
/// Latency past which a target counts as paused, in usual high latencies.
const OVERDUE_FACTOR: f64 = 1.5;

/// How a send ended.
#[derive(Debug)]
pub enum JobEnd {
    /// With an answer of the target.
    Reply(TargetReply),
    /// Without a whole answer, after bytes of it were written.
    Broken,
    /// Before any byte of it was written.
    NotSent,
}

#[derive(Debug)]
struct ServiceState {
    targets: Vec<TargetKey>,
    budget: RetryBudget,
}

#[derive(Debug)]
struct TrafficInner {
    view: Arc<FleetView>,
    targets: IndexMap<TargetKey, TargetState>,
    keys: IndexMap<(TargetId, u64), TargetKey>,
    services: IndexMap<ServiceName, ServiceState>,
    routes: IndexMap<RouteName, RouteState>,
    next_key: TargetKey,
    random: SmallRng,
    gate: ServiceGate,
}

/// Everything that the traffic thread knows.
#[derive(Debug)]
pub struct TrafficState {
    /// What the threads share.
    pub shared: Arc<SharedState>,
    /// How targets are judged.
    pub health: HealthSettings,
    /// When answers and second sends go out.
    pub timing: TimingSettings,
    inner: RefCell<TrafficInner>,
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
            inner: RefCell::new(TrafficInner {
                view,
                targets: IndexMap::new(),
                keys: IndexMap::new(),
                services: IndexMap::new(),
                routes: IndexMap::new(),
                next_key: 0,
                random: SmallRng::from_os_rng(),
                gate: ServiceGate::default(),
            }),
            open: Cell::new(0),
        }
    }

    /// Takes the newest view over, if it is newer than the one in use, and returns it.
    pub fn newest_view(&self, now: Instant) -> Arc<FleetView> {
        let newest = self.shared.view.load();
        if newest.number == self.inner.borrow().view.number {
            return Arc::clone(&newest);
        }
        let view = Arc::clone(&newest);
        drop(newest);
        let unused = self.inner.borrow_mut().apply_view(&view, &self.shared, now);
        for connection in unused {
            connection.close();
        }
        view
    }

    /// Whether callers are sent to this node.
    pub fn is_named(&self) -> bool {
        self.inner.borrow().view.is_named
    }

    /// Runs `look` on what the node has seen of a route.
    pub fn with_route<R>(&self, route: &RouteName, look: impl FnOnce(&mut RouteState) -> R) -> R {
        let mut inner = self.inner.borrow_mut();
        if !inner.routes.contains_key(route) {
            inner
                .routes
                .insert(Arc::clone(route), RouteState::default());
        }
        look(&mut inner.routes[route])
    }

    /// Counts a request that is about to be sent to its services.
    pub fn count_request(&self, services: &[ServiceName], now: Instant) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        for name in services {
            inner.service(name, &self.shared).budget.count_request(now);
        }
    }

    /// Whether enough services of a request are in reach to take it.
    pub fn admits(&self, request: &OpenRequest, least_parts: usize, now: Instant) -> bool {
        let mut inner = self.inner.borrow_mut();
        let silence = inner.gate.silence();
        let in_reach = request
            .services
            .iter()
            .filter(|name| inner.is_in_reach(name, silence, now))
            .count();
        let admits = inner.gate.admits(now, in_reach, least_parts);
        let is_closed = inner.gate.is_closed();
        if self.shared.serviceable.swap(!is_closed, Ordering::Relaxed) == is_closed {
            log::warn!(event = "reach", closed = is_closed, request = request.id.as_str(),
                in_reach, least = least_parts, route:% = request.route.name;
                "the number of services in reach decides on requests");
        }
        admits
    }

    /// Chooses and starts the first sends; returns whether there are any.
    pub fn start(self: &Rc<Self>, request: &Rc<OpenRequest>, now: Instant) -> bool {
        let sends = {
            let mut inner = self.inner.borrow_mut();
            let mut chooser = TrafficChooser {
                traffic: self,
                inner: &mut inner,
                request,
                now,
            };
            request.run.borrow_mut().start(&mut chooser)
        };
        let has_started = !sends.is_empty();
        self.carry_out(request, &sends, now);
        has_started
    }

    /// Starts the sends that are due.
    pub fn advance(self: &Rc<Self>, request: &Rc<OpenRequest>, now: Instant) {
        let elapsed = now.saturating_duration_since(request.arrived);
        let sends = {
            let mut inner = self.inner.borrow_mut();
            let mut chooser = TrafficChooser {
                traffic: self,
                inner: &mut inner,
                request,
                now,
            };
            request.run.borrow_mut().due(elapsed, &mut chooser)
        };
        self.carry_out(request, &sends, now);
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
            self.finish_job(&job, HealthOutcome::Withdrawn, now);
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
        let mut inner = self.inner.borrow_mut();
        let Some(target) = inner.targets.get_mut(&key) else {
            connection.close();
            return;
        };
        if job.stage.get() == JobStage::Waiting && target.is_usable {
            TargetConnection::send(connection, job, &target.record, now);
            return;
        }
        drop(inner);
        self.connection_idle(key, connection);
    }

    /// A connection has no request; it takes the next one that waits.
    pub fn connection_idle(&self, key: TargetKey, connection: &Rc<TargetConnection>) {
        let now = Instant::now();
        let mut inner = self.inner.borrow_mut();
        let Some(target) = inner.targets.get_mut(&key) else {
            connection.close();
            return;
        };
        if !target.is_usable {
            connection.close();
            return;
        }
        if connection.has_answered() {
            target.allowance.note_answer();
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
        if job.stage.get() == JobStage::Waiting {
            log_send("connect_failed", job, &end.reason);
            self.job_ended(job, JobEnd::NotSent);
        }
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
        if let Some(target) = self.inner.borrow_mut().targets.get_mut(&key) {
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
    pub fn job_ended(self: &Rc<Self>, job: &Rc<SendJob>, end: JobEnd) {
        if job.stage.get() == JobStage::Done {
            return;
        }
        let now = Instant::now();
        let (outcome, health, reason) = judge(&end);
        self.finish_job(job, health, now);
        let request = &job.request;
        let elapsed = now.saturating_duration_since(request.arrived);
        if let JobEnd::Reply(reply) = &end
            && outcome != SendOutcome::Answered
        {
            log_send(reason, job, &format!("status {}", reply.status));
        }
        if let JobEnd::Reply(reply) = &end
            && reply.status == 421
            && let Some(target) = self.inner.borrow_mut().targets.get_mut(&job.target)
        {
            target.is_replaced = true;
            log::info!(event = "target_replaced", request = request.id.as_str(),
                target:% = target.record.id; "another target answers at the address");
        }
        if outcome == SendOutcome::Answered {
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
            JobEnd::Reply(reply) if outcome == SendOutcome::Failed => {
                *request.failure.borrow_mut() = Some(reply);
            }
            _ => {}
        }
        let run = request.run.borrow();
        let may_end = elapsed >= run.timing().answer
            || run.answered() == request.services.len()
            || outcome != SendOutcome::Answered;
        if may_end {
            request.changed.notify_one();
        }
    }

    fn finish_job(&self, job: &Rc<SendJob>, outcome: HealthOutcome, now: Instant) {
        job.stage.set(JobStage::Done);
        job.request
            .jobs
            .borrow_mut()
            .retain(|open| !Rc::ptr_eq(open, job));
        if let Some(target) = self.inner.borrow_mut().targets.get_mut(&job.target) {
            target
                .health
                .finish(&self.health, now, job.observation, outcome);
        }
    }

    fn carry_out(self: &Rc<Self>, request: &Rc<OpenRequest>, sends: &[GatherSend], now: Instant) {
        for send in sends {
            let mut inner = self.inner.borrow_mut();
            let (usual, high) = inner.usual_latency(request);
            let Some(target) = inner.targets.get_mut(&send.target) else {
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
                SendReason::First => "first",
                SendReason::Hedge => "hedge",
                SendReason::Retry => "retry",
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
        let mut inner = self.inner.borrow_mut();
        if let Some(target) = inner.targets.get_mut(&key) {
            target.connections = target.connections.saturating_sub(1);
            if is_refused {
                target
                    .allowance
                    .note_reset(Instant::now(), target.connections);
                self.shared.metrics.count("target_connections", "refused");
            }
            if !target.is_usable && target.connections == 0 {
                let name = (Arc::clone(&target.record.id), target.record.started_ms);
                inner.targets.swap_remove(&key);
                if inner.keys.get(&name) == Some(&key) {
                    inner.keys.swap_remove(&name);
                }
            }
        }
    }

    /// Opens a connection for a send that waits, if there is room for one.
    fn open_for_waiting(self: &Rc<Self>, key: TargetKey) {
        let now = Instant::now();
        let mut inner = self.inner.borrow_mut();
        let Some(target) = inner.targets.get_mut(&key) else {
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
            if let Some(target) = traffic.inner.borrow_mut().targets.get_mut(&key) {
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

impl TrafficInner {
    fn service(&mut self, name: &ServiceName, shared: &SharedState) -> &mut ServiceState {
        if !self.services.contains_key(name) {
            let budget = RetryBudget::new(budget_settings(shared, self.view.part));
            self.services.insert(
                Arc::clone(name),
                ServiceState {
                    targets: Vec::new(),
                    budget,
                },
            );
        }
        &mut self.services[name]
    }

    /// Whether a service has a target that answers, as far as the node can tell.
    fn is_in_reach(&self, name: &ServiceName, silence: Duration, now: Instant) -> bool {
        let Some(service) = self.services.get(name) else {
            return false;
        };
        service
            .targets
            .iter()
            .filter_map(|key| self.targets.get(key))
            .any(|target| {
                target.is_usable && !target.is_replaced && target.health.oldest(now) < silence
            })
    }

    fn usual_latency(&self, request: &OpenRequest) -> (Duration, Duration) {
        let unknown = request.route.objective.mul_f64(UNKNOWN_LATENCY);
        let latencies = self
            .routes
            .get(&request.route.name)
            .map(|route| &route.latencies);
        let median = latencies.and_then(LatencyWindow::median).unwrap_or(unknown);
        let high = latencies
            .and_then(LatencyWindow::high)
            .unwrap_or(unknown * 2);
        (median, high.max(median.mul_f64(1.5)))
    }

    /// Takes a view over; returns the connections that are of no more use.
    fn apply_view(
        &mut self,
        view: &Arc<FleetView>,
        shared: &SharedState,
        now: Instant,
    ) -> Vec<Rc<TargetConnection>> {
        self.view = Arc::clone(view);
        let settings = shared.settings.load();
        for target in self.targets.values_mut() {
            target.is_usable = false;
        }
        for service in self.services.values_mut() {
            service.targets.clear();
            service
                .budget
                .set_settings(budget_settings(shared, view.part));
        }
        for (name, records) in &view.targets {
            self.service(name, shared);
            for record in records {
                let is_evacuated = view.evacuated.contains(&record.domain);
                let key = self.target(record, &settings.domain, now);
                let limits = view
                    .table
                    .as_ref()
                    .and_then(|table| table.services.get(name));
                let target = &mut self.targets[&key];
                let connections = limits.map_or(1, |limits| limits.connections);
                let connections = f64::from(connections) * CONNECTION_SHARE * view.part;
                target.allowance.set_part(connections as usize);
                let cold = limits
                    .filter(|limits| limits.cold_requests > 0.0)
                    .map(|limits| {
                        let bound =
                            limits.cold_requests * settings.cold_factor + settings.cold_slack;
                        (bound * COLD_SHARE * view.part) as u32
                    });
                target.cold.set_limit(cold);
                target.is_usable = !is_evacuated;
                self.services[name].targets.push(key);
            }
        }
        let mut unused = Vec::new();
        let mut gone = Vec::new();
        for (key, target) in &mut self.targets {
            if !target.is_usable {
                unused.append(&mut target.idle);
                if target.connections == 0 {
                    gone.push(*key);
                }
            }
        }
        for key in gone {
            if let Some(target) = self.targets.swap_remove(&key) {
                let name = (Arc::clone(&target.record.id), target.record.started_ms);
                if self.keys.get(&name) == Some(&key) {
                    self.keys.swap_remove(&name);
                }
            }
        }
        self.services.retain(|name, service| {
            !service.targets.is_empty()
                || view
                    .table
                    .as_ref()
                    .is_some_and(|table| table.services.contains_key(name))
        });
        unused
    }

    /// The key of a target, which is new for each start and address of the target.
    fn target(&mut self, record: &Arc<TargetRecord>, domain: &str, now: Instant) -> TargetKey {
        let name = (Arc::clone(&record.id), record.started_ms);
        let cold_until = now + record.cold_left;
        if let Some(key) = self.keys.get(&name)
            && let Some(target) = self.targets.get_mut(key)
            && target.record.address == record.address
        {
            if !Arc::ptr_eq(&target.record, record) {
                target.record = Arc::clone(record);
                target.cold_until = cold_until;
            }
            return *key;
        }
        let key = self.next_key;
        self.next_key += 1;
        self.keys.insert(name, key);
        self.targets.insert(
            key,
            TargetState {
                record: Arc::clone(record),
                health: TargetHealth::default(),
                idle: Vec::new(),
                connections: 0,
                waiting: VecDeque::new(),
                opens_later: false,
                allowance: ConnectionAllowance::default(),
                is_usable: true,
                is_replaced: false,
                is_near: &*record.domain == domain,
                cold_until,
                cold: ColdAllowance::default(),
            },
        );
        key
    }
}

/// Chooses targets for one request.
struct TrafficChooser<'a> {
    traffic: &'a TrafficState,
    inner: &'a mut TrafficInner,
    request: &'a OpenRequest,
    now: Instant,
}

impl SendChooser for TrafficChooser<'_> {
    fn choose(&mut self, service: usize, tried: &[TargetKey]) -> Option<TargetKey> {
        let name = &self.request.services[service];
        let state = self.inner.services.get(name)?;
        let (targets, now) = (&self.inner.targets, self.now);
        let candidates = state.targets.iter().filter_map(|key| {
            let target = targets.get(key)?;
            (!tried.contains(key) && target.accepts(now)).then(|| TargetCandidate {
                key: *key,
                health: &target.health,
                slots: target.record.slots,
                is_near: target.is_near,
                is_cold: target.is_cold(now),
            })
        });
        let random = &mut self.inner.random;
        choose_target(&self.traffic.health, now, candidates, || {
            random.random_range(0.0..COST_JITTER)
        })
    }

    fn allow(&mut self, service: usize, reason: SendReason) -> bool {
        let name = &self.request.services[service];
        let share = if reason == SendReason::Hedge {
            HEDGE_SHARE
        } else {
            1.0
        };
        let is_allowed = self
            .inner
            .services
            .get_mut(name)
            .is_some_and(|state| state.budget.take_extra(self.now, share));
        if !is_allowed {
            self.traffic.shared.metrics.count("sends_denied", "budget");
        }
        is_allowed
    }
}

fn budget_settings(shared: &SharedState, part: f64) -> RetryBudgetSettings {
    let settings = shared.settings.load();
    RetryBudgetSettings {
        ratio: settings.retry_ratio * RATIO_SHARE,
        slack: settings.retry_slack * SLACK_SHARE * part,
        window: Duration::from_secs_f64(settings.retry_window_s),
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

fn judge(end: &JobEnd) -> (SendOutcome, HealthOutcome, &'static str) {
    match end {
        JobEnd::Reply(reply) if reply.is_not_run() => {
            (SendOutcome::NotRun, HealthOutcome::Shed, "send_not_run")
        }
        JobEnd::Reply(reply) if reply.is_success() => {
            (SendOutcome::Answered, HealthOutcome::Answered, "answered")
        }
        JobEnd::Reply(_) => (SendOutcome::Failed, HealthOutcome::Failed, "send_failed"),
        JobEnd::Broken => (SendOutcome::Failed, HealthOutcome::Failed, "broken"),
        JobEnd::NotSent => (SendOutcome::NotRun, HealthOutcome::Failed, "not_sent"),
    }
}
