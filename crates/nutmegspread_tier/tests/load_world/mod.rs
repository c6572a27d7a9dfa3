//! Simulation of nodes and targets in virtual time, under a load that depends only on the seed.
//!
//! Targets process `slots` requests concurrently, queue some more, and pause regularly. For some
//! time, some of them may be slow, silent or shedding. Nodes use the decision logic under test:
//! choice of targets, gather runs, timing and retry budgets.

use nutmegspread_tier::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

/// How a target misbehaves.
#[derive(Clone, Copy, Debug)]
pub enum TargetFault {
    /// Takes this many times as long for each request.
    Slow(f64),
    /// Accepts requests and never answers.
    Silent,
    /// Sheds every request.
    Shed,
}

/// Deployment and load of a simulation.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub seed: u64,
    pub nodes: usize,
    pub shards: usize,
    pub replicas: usize,
    pub slots: usize,
    pub queue: usize,
    pub work_time: Duration,
    pub pause: Duration,
    pub pause_every: Duration,
    pub objective: Duration,
    pub deadline: Duration,
    pub least_coverage: f64,
    pub per_second: f64,
    pub duration: Duration,
    /// Factor by which the load is multiplied, with start and end of this time.
    pub burst: (f64, Duration, Duration),
    /// Share of the targets that misbehave, the kind of fault, and start and end of this time.
    pub fault: Option<(f64, TargetFault, Duration, Duration)>,
    /// Whether nodes choose targets at random and make no extra attempts; otherwise they use the
    /// decision logic under test.
    pub is_naive: bool,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            nodes: 7,
            shards: 20,
            replicas: 2,
            slots: 2,
            queue: 12,
            work_time: Duration::from_millis(11),
            pause: Duration::from_millis(120),
            pause_every: Duration::from_secs(3),
            objective: Duration::from_millis(100),
            deadline: Duration::from_millis(1500),
            least_coverage: 0.89,
            per_second: 75.0,
            duration: Duration::from_secs(20),
            burst: (1.0, Duration::ZERO, Duration::ZERO),
            fault: None,
            is_naive: false,
        }
    }
}

/// What callers and targets observed in a simulation.
#[derive(Clone, Debug, Default)]
pub struct LoadResult {
    pub requests: usize,
    pub in_objective: usize,
    pub late: usize,
    pub unserved: usize,
    /// Sum of the squared share of parts over all answers within the objective, and a tenth of it
    /// for each late answer.
    pub credit: f64,
    /// Largest excess of extra attempts on a service over its bound in any window; 0 if there is
    /// none.
    pub budget_excess: f64,
    /// Extra attempts as a share of first attempts.
    pub extra_share: f64,
}

impl LoadResult {
    /// Mean credit of a request, from 0 to 1.
    pub fn mean_credit(&self) -> f64 {
        self.credit / self.requests as f64
    }
}

struct Target {
    free_slots: usize,
    /// Request number, service and attempt id of each queued attempt.
    queue: VecDeque<(usize, usize, u64)>,
    pause_phase: Duration,
    speed: f64,
    is_faulty: bool,
}

struct Node {
    health: Vec<TargetHealth>,
    budgets: Vec<RetryBudget>,
    latencies: LatencyWindow,
}

struct Request {
    node: usize,
    arrived: Duration,
    run: GatherRun,
    /// Outstanding attempts by id: service, target, id in the target's health, and start.
    attempts: BTreeMap<u64, (usize, usize, u64, Duration)>,
    has_ended: bool,
    next_check: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Check(usize),
    Finish {
        target: usize,
        request: usize,
        attempt: u64,
    },
    Reply {
        request: usize,
        attempt: u64,
        has_run: bool,
    },
}

/// A simulation in progress.
pub struct LoadWorld {
    plan: LoadPlan,
    origin: Instant,
    random: Pcg64,
    now: Duration,
    event_count: u64,
    events: BinaryHeap<std::cmp::Reverse<(Duration, u64, Event)>>,
    targets: Vec<Target>,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    next_attempt: u64,
    /// Arrival times of the requests.
    request_times: Vec<Duration>,
    /// Times of the extra attempts, by shard.
    extra_times: Vec<Vec<Duration>>,
    result: LoadResult,
}

/// Network latency from a node to a target, and back.
const NETWORK_LATENCY: Duration = Duration::from_micros(700);
const EXTRA_RATIO: f64 = 0.2;
const EXTRA_SLACK: f64 = 54.0;
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

struct NodeChooser<'a> {
    node: &'a mut Node,
    random: &'a mut Pcg64,
    plan: &'a LoadPlan,
    now: Instant,
}

impl AttemptChooser for NodeChooser<'_> {
    fn choose(&mut self, service: usize, tried: &[TargetKey]) -> Option<TargetKey> {
        let replicas = self.plan.replicas;
        let keys = (service * replicas..(service + 1) * replicas)
            .map(|target| target as TargetKey)
            .filter(|key| !tried.contains(key));
        if self.plan.is_naive {
            let keys: Vec<TargetKey> = keys.collect();
            return (!keys.is_empty()).then(|| keys[self.random.random_range(0..keys.len())]);
        }
        let health = &self.node.health;
        let slots = self.plan.slots as u32;
        let candidates = keys.map(|key| TargetCandidate {
            key,
            health: &health[key as usize],
            slots,
            is_near: true,
            is_cold: false,
            is_leaving: false,
        });
        let random = &mut *self.random;
        let settings = HealthSettings::default();
        choose_target(&settings, self.now, candidates, || {
            random.random_range(0.0..0.1)
        })
    }

    fn take_extra(&mut self, service: usize, reason: AttemptReason) -> bool {
        let share = if reason == AttemptReason::Hedge {
            0.9
        } else {
            1.0
        };
        !self.plan.is_naive && self.node.budgets[service].take_extra(self.now, share)
    }
}

impl LoadWorld {
    pub fn new(plan: LoadPlan) -> Self {
        let mut random = Pcg64::seed_from_u64(plan.seed);
        let speeds = [0.8, 1.0, 1.3];
        let mut faulty = vec![false; plan.shards * plan.replicas];
        if let Some((share, ..)) = plan.fault {
            // The last replica of each shard never misbehaves.
            for shard in 0..plan.shards {
                for replica in 0..plan.replicas - 1 {
                    faulty[shard * plan.replicas + replica] =
                        random.random_range(0.0..1.0) < share * plan.replicas as f64;
                }
            }
        }
        let targets = (0..plan.shards * plan.replicas)
            .map(|number| Target {
                free_slots: plan.slots,
                queue: VecDeque::new(),
                pause_phase: plan.pause_every.mul_f64(random.random_range(0.0..1.0)),
                speed: speeds[number % speeds.len()],
                is_faulty: faulty[number],
            })
            .collect();
        let settings = RetryBudgetSettings {
            ratio: EXTRA_RATIO * 0.9,
            slack: EXTRA_SLACK * 0.5 / plan.nodes as f64,
            window: BUDGET_WINDOW,
        };
        let nodes = (0..plan.nodes)
            .map(|_| Node {
                health: vec![TargetHealth::default(); plan.shards * plan.replicas],
                budgets: vec![RetryBudget::new(settings); plan.shards],
                latencies: LatencyWindow::default(),
            })
            .collect();
        let extra_times = vec![Vec::new(); plan.shards];
        Self {
            origin: Instant::now(),
            random,
            now: Duration::ZERO,
            event_count: 0,
            events: BinaryHeap::new(),
            targets,
            nodes,
            requests: Vec::new(),
            next_attempt: 0,
            request_times: Vec::new(),
            extra_times,
            result: LoadResult::default(),
            plan,
        }
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> LoadResult {
        let mut at = Duration::ZERO;
        let mut number = 0;
        while at < self.plan.duration {
            let (factor, from, to) = self.plan.burst;
            let rate = self.plan.per_second * if at >= from && at < to { factor } else { 1.0 };
            at += Duration::from_secs_f64(-self.random.random_range(1e-9..1.0_f64).ln() / rate);
            self.push(at, Event::Arrive(number));
            number += 1;
        }
        while let Some(std::cmp::Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.step(event);
        }
        self.check_budget();
        self.result
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .push(std::cmp::Reverse((at, self.event_count, event)));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(_) => self.start_request(),
            Event::Check(request) => self.check_request(request),
            Event::Finish {
                target,
                request,
                attempt,
            } => {
                self.targets[target].free_slots += 1;
                self.push(
                    self.now + NETWORK_LATENCY,
                    Event::Reply {
                        request,
                        attempt,
                        has_run: true,
                    },
                );
                self.serve_next(target);
            }
            Event::Reply {
                request,
                attempt,
                has_run,
            } => self.reply(request, attempt, has_run),
        }
    }

    fn start_request(&mut self) {
        let node = self.random.random_range(0..self.plan.nodes);
        let number = self.requests.len();
        let timing = AnswerTiming::new(
            &TimingSettings::default(),
            &self.nodes[node].latencies,
            self.plan.objective,
            self.plan.deadline,
        );
        let max_attempts = if self.plan.is_naive { 1 } else { 2 };
        let rule = GatherRule {
            shards: (0..self.plan.shards)
                .map(|shard| shard.to_string().into())
                .collect(),
            top: 10,
            least_coverage: self.plan.least_coverage,
        };
        let run = GatherRun::new(
            timing,
            RepeatRule::Idempotent,
            max_attempts,
            self.plan.shards,
            rule.least_parts(),
        );
        self.requests.push(Request {
            node,
            arrived: self.now,
            run,
            attempts: BTreeMap::new(),
            has_ended: false,
            next_check: None,
        });
        self.result.requests += 1;
        self.request_times.push(self.now);
        let now = self.origin + self.now;
        for budget in &mut self.nodes[node].budgets {
            budget.count_request(now);
        }
        let mut chooser = NodeChooser {
            node: &mut self.nodes[node],
            random: &mut self.random,
            plan: &self.plan,
            now,
        };
        let attempts = self.requests[number].run.start(&mut chooser);
        self.send_attempts(number, &attempts);
        self.check_request(number);
    }

    fn check_request(&mut self, number: usize) {
        if self.requests[number].has_ended {
            return;
        }
        let now = self.origin + self.now;
        let node = self.requests[number].node;
        let elapsed = self.now - self.requests[number].arrived;
        let mut chooser = NodeChooser {
            node: &mut self.nodes[node],
            random: &mut self.random,
            plan: &self.plan,
            now,
        };
        let attempts = self.requests[number]
            .run
            .due_attempts(elapsed, &mut chooser);
        self.send_attempts(number, &attempts);
        let request = &mut self.requests[number];
        match request.run.progress(elapsed) {
            GatherProgress::Wait(next) => {
                let at = request.arrived + next.max(elapsed + Duration::from_micros(100));
                if request
                    .next_check
                    .is_none_or(|pending| at < pending || pending <= self.now)
                {
                    request.next_check = Some(at);
                    self.push(at, Event::Check(number));
                }
            }
            GatherProgress::Answer => {
                request.has_ended = true;
                let share = request.run.answered() as f64 / self.plan.shards as f64;
                // The network between caller and node takes a millisecond each way.
                if elapsed + Duration::from_millis(2) <= self.plan.objective {
                    self.result.in_objective += 1;
                    self.result.credit += share * share;
                } else {
                    self.result.late += 1;
                    self.result.credit += 0.1 * share * share;
                }
            }
            GatherProgress::Refuse | GatherProgress::Fail | GatherProgress::TimeOut => {
                request.has_ended = true;
                self.result.unserved += 1;
            }
        }
    }

    fn send_attempts(&mut self, number: usize, attempts: &[GatherAttempt]) {
        for attempt in attempts {
            let target = attempt.target as usize;
            let node = &mut self.nodes[self.requests[number].node];
            let median = node.latencies.median().unwrap_or(self.plan.objective / 5);
            let high = node
                .latencies
                .p90()
                .unwrap_or(median * 2)
                .max(median.mul_f64(1.5));
            let observation =
                node.health[target].start(self.origin + self.now, median, high.mul_f64(1.5));
            let id = self.next_attempt;
            self.next_attempt += 1;
            let entry = (attempt.service, target, observation, self.now);
            self.requests[number].attempts.insert(id, entry);
            if attempt.reason != AttemptReason::First {
                self.extra_times[attempt.service].push(self.now);
            }
            match self.current_fault(target) {
                Some(TargetFault::Silent) => {
                    let reply_time = self.now + self.plan.deadline;
                    self.push(
                        reply_time,
                        Event::Reply {
                            request: number,
                            attempt: id,
                            has_run: false,
                        },
                    );
                }
                Some(TargetFault::Shed) => {
                    let reply_time = self.now + NETWORK_LATENCY * 2;
                    self.push(
                        reply_time,
                        Event::Reply {
                            request: number,
                            attempt: id,
                            has_run: false,
                        },
                    );
                }
                _ if self.targets[target].queue.len() >= self.plan.queue => {
                    let reply_time = self.now + NETWORK_LATENCY * 2;
                    self.push(
                        reply_time,
                        Event::Reply {
                            request: number,
                            attempt: id,
                            has_run: false,
                        },
                    );
                }
                _ => {
                    self.targets[target]
                        .queue
                        .push_back((number, attempt.service, id));
                    self.serve_next(target);
                }
            }
        }
    }

    fn serve_next(&mut self, target: usize) {
        while self.targets[target].free_slots > 0 {
            let Some((request, _, attempt)) = self.targets[target].queue.pop_front() else {
                return;
            };
            self.targets[target].free_slots -= 1;
            let tail = if self.random.random_range(0.0..1.0) < 0.01 {
                5.0
            } else {
                1.0
            };
            let spread: f64 = (0..6)
                .map(|_| self.random.random_range(-0.5..0.5_f64))
                .sum::<f64>()
                * 0.5;
            let slowdown = match self.current_fault(target) {
                Some(TargetFault::Slow(factor)) => factor,
                _ => 1.0,
            };
            let factor = self.targets[target].speed * tail * slowdown * spread.exp();
            let work_time = self.plan.work_time.mul_f64(factor);
            let end = self.now + NETWORK_LATENCY + self.remaining_pause(target) + work_time;
            self.push(
                end,
                Event::Finish {
                    target,
                    request,
                    attempt,
                },
            );
        }
    }

    /// Remaining time of the target's pause; 0 if it does not pause.
    fn remaining_pause(&self, target: usize) -> Duration {
        let every = self.plan.pause_every.as_secs_f64();
        let at = (self.now + self.targets[target].pause_phase).as_secs_f64() % every;
        self.plan.pause.saturating_sub(Duration::from_secs_f64(at))
    }

    fn current_fault(&self, target: usize) -> Option<TargetFault> {
        let (_, fault, from, to) = self.plan.fault?;
        let is_now = self.now >= from && self.now < to;
        (is_now && self.targets[target].is_faulty).then_some(fault)
    }

    fn reply(&mut self, number: usize, attempt: u64, has_run: bool) {
        let now = self.origin + self.now;
        let Some((service, target, observation, started)) =
            self.requests[number].attempts.remove(&attempt)
        else {
            return;
        };
        let is_silent = matches!(self.current_fault(target), Some(TargetFault::Silent)) && !has_run;
        let (outcome, health) = match (has_run, is_silent) {
            (true, _) => (AttemptOutcome::Answered, HealthOutcome::Answered),
            (false, true) => (AttemptOutcome::Failed, HealthOutcome::Failed),
            (false, false) => (AttemptOutcome::NotRun, HealthOutcome::Shed),
        };
        let node = &mut self.nodes[self.requests[number].node];
        node.health[target].finish(&HealthSettings::default(), now, observation, health);
        if has_run {
            node.latencies.add(self.now - started);
        }
        if self.requests[number].has_ended {
            return;
        }
        let elapsed = self.now - self.requests[number].arrived;
        self.requests[number].run.finish(elapsed, service, outcome);
        self.check_request(number);
    }

    /// Compares the extra attempts with their bound in every window that ends at an extra attempt.
    fn check_budget(&mut self) {
        let mut extras = 0;
        for times in &self.extra_times {
            extras += times.len();
            for (index, end) in times.iter().enumerate() {
                let from = end.saturating_sub(BUDGET_WINDOW);
                let extra = index + 1 - times.partition_point(|time| *time <= from);
                let requests = self.request_times.partition_point(|time| time <= end)
                    - self.request_times.partition_point(|time| *time <= from);
                let excess = extra as f64 - (EXTRA_RATIO * requests as f64 + EXTRA_SLACK);
                self.result.budget_excess = self.result.budget_excess.max(excess);
            }
        }
        let first = self.result.requests * self.plan.shards;
        self.result.extra_share = extras as f64 / first as f64;
    }
}
