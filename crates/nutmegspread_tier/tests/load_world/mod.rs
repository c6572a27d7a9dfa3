//! Nodes and targets in virtual time, under a load that is played again.
//!
//! Targets work on `slots` requests at once, queue some more, pause now and then and may be slow,
//! silent or shedding for a while. Nodes run the real decisions: choice, runs, timing and budget.

use nutmegspread_tier::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

/// What a target does wrong, and when.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// Works this many times as long.
    Slow(f64),
    /// Takes requests and never answers.
    Silent,
    /// Refuses every request as not run.
    Shed,
}

/// The deployment and the load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub seed: u64,
    pub nodes: usize,
    pub shards: usize,
    pub replicas: usize,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    pub pause: Duration,
    pub pause_every: Duration,
    pub objective: Duration,
    pub deadline: Duration,
    pub least_coverage: f64,
    pub per_second: f64,
    pub length: Duration,
    /// Times the load in a span of the run.
    pub burst: (f64, Duration, Duration),
    /// Targets by share that get trouble in a span.
    pub trouble: Option<(f64, Trouble, Duration, Duration)>,
    /// Whether nodes send a second time and judge targets; otherwise they draw at random and wait.
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
            work: Duration::from_millis(11),
            pause: Duration::from_millis(120),
            pause_every: Duration::from_secs(3),
            objective: Duration::from_millis(100),
            deadline: Duration::from_millis(1500),
            least_coverage: 0.89,
            per_second: 75.0,
            length: Duration::from_secs(20),
            burst: (1.0, Duration::ZERO, Duration::ZERO),
            trouble: None,
            is_naive: false,
        }
    }
}

/// What callers and targets saw.
#[derive(Clone, Debug, Default)]
pub struct LoadResult {
    pub asked: usize,
    pub in_objective: usize,
    pub late: usize,
    pub unserved: usize,
    /// Sum over answers in the objective of the squared share of parts.
    pub credit: f64,
    /// Largest excess of extra arrivals at a service over its bound in any window.
    pub budget_excess: f64,
    pub extra_share: f64,
}

impl LoadResult {
    /// Credit of a request on average, 0 to 1.
    pub fn worth(&self) -> f64 {
        self.credit / self.asked as f64
    }
}

struct Target {
    free_slots: usize,
    queue: VecDeque<(usize, usize, u64)>,
    pause_phase: Duration,
    speed: f64,
    is_troubled: bool,
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
    sends: BTreeMap<u64, (usize, usize, u64, Duration)>,
    is_over: bool,
    next_look: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Look(usize),
    Finish {
        target: usize,
        request: usize,
        send: u64,
    },
    Reply {
        request: usize,
        send: u64,
        is_run: bool,
    },
}

pub struct LoadWorld {
    plan: LoadPlan,
    origin: Instant,
    random: Pcg64,
    now: Duration,
    order: u64,
    events: BinaryHeap<std::cmp::Reverse<(Duration, u64, Event)>>,
    targets: Vec<Target>,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    next_send: u64,
    /// Times of requests, and of extra arrivals by shard.
    request_times: Vec<Duration>,
    extra_times: Vec<Vec<Duration>>,
    result: LoadResult,
}

/// One way between a node and a target.
const ONE_WAY: Duration = Duration::from_micros(700);
const RATIO: f64 = 0.2;
const SLACK: f64 = 54.0;
const WINDOW: Duration = Duration::from_secs(10);

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
        });
        let random = &mut *self.random;
        let settings = HealthSettings::default();
        choose_target(&settings, self.now, candidates, || {
            random.random_range(0.0..0.1)
        })
    }

    fn allow(&mut self, service: usize, reason: AttemptReason) -> bool {
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
        let mut troubled = vec![false; plan.shards * plan.replicas];
        if let Some((share, ..)) = plan.trouble {
            // One replica of each shard is spared.
            for shard in 0..plan.shards {
                for replica in 0..plan.replicas - 1 {
                    troubled[shard * plan.replicas + replica] =
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
                is_troubled: troubled[number],
            })
            .collect();
        let settings = RetryBudgetSettings {
            ratio: RATIO * 0.9,
            slack: SLACK * 0.5 / plan.nodes as f64,
            window: WINDOW,
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
            order: 0,
            events: BinaryHeap::new(),
            targets,
            nodes,
            requests: Vec::new(),
            next_send: 0,
            request_times: Vec::new(),
            extra_times,
            result: LoadResult::default(),
            plan,
        }
    }

    /// Plays the whole load.
    pub fn run(mut self) -> LoadResult {
        let mut at = Duration::ZERO;
        let mut number = 0;
        while at < self.plan.length {
            let (times, from, to) = self.plan.burst;
            let rate = self.plan.per_second * if at >= from && at < to { times } else { 1.0 };
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
        self.order += 1;
        self.events.push(std::cmp::Reverse((at, self.order, event)));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(_) => self.arrive(),
            Event::Look(request) => self.look(request),
            Event::Finish {
                target,
                request,
                send,
            } => {
                self.targets[target].free_slots += 1;
                self.push(
                    self.now + ONE_WAY,
                    Event::Reply {
                        request,
                        send,
                        is_run: true,
                    },
                );
                self.serve_next(target);
            }
            Event::Reply {
                request,
                send,
                is_run,
            } => self.reply(request, send, is_run),
        }
    }

    fn arrive(&mut self) {
        let node = self.random.random_range(0..self.plan.nodes);
        let number = self.requests.len();
        let timing = AnswerTiming::new(
            &TimingSettings::default(),
            &self.nodes[node].latencies,
            self.plan.objective,
            self.plan.deadline,
        );
        let attempts = if self.plan.is_naive { 1 } else { 2 };
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
            attempts,
            self.plan.shards,
            rule.least_parts(),
        );
        self.requests.push(Request {
            node,
            arrived: self.now,
            run,
            sends: BTreeMap::new(),
            is_over: false,
            next_look: None,
        });
        self.result.asked += 1;
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
        let sends = self.requests[number].run.start(&mut chooser);
        self.carry_out(number, &sends);
        self.look(number);
    }

    fn look(&mut self, number: usize) {
        if self.requests[number].is_over {
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
        let sends = self.requests[number]
            .run
            .due_attempts(elapsed, &mut chooser);
        self.carry_out(number, &sends);
        let request = &mut self.requests[number];
        match request.run.progress(elapsed) {
            GatherProgress::Wait(next) => {
                let at = request.arrived + next.max(elapsed + Duration::from_micros(100));
                if request
                    .next_look
                    .is_none_or(|pending| at < pending || pending <= self.now)
                {
                    request.next_look = Some(at);
                    self.push(at, Event::Look(number));
                }
            }
            GatherProgress::Answer => {
                request.is_over = true;
                let share = request.run.answered() as f64 / self.plan.shards as f64;
                // A millisecond each way between the caller and the node.
                if elapsed + Duration::from_millis(2) <= self.plan.objective {
                    self.result.in_objective += 1;
                    self.result.credit += share * share;
                } else {
                    self.result.late += 1;
                    self.result.credit += 0.1 * share * share;
                }
            }
            GatherProgress::Refuse | GatherProgress::Fail | GatherProgress::TimeOut => {
                request.is_over = true;
                self.result.unserved += 1;
            }
        }
    }

    fn carry_out(&mut self, number: usize, sends: &[GatherAttempt]) {
        for send in sends {
            let target = send.target as usize;
            let node = &mut self.nodes[self.requests[number].node];
            let median = node.latencies.median().unwrap_or(self.plan.objective / 5);
            let high = node
                .latencies
                .p90()
                .unwrap_or(median * 2)
                .max(median.mul_f64(1.5));
            let observation =
                node.health[target].start(self.origin + self.now, median, high.mul_f64(1.5));
            let id = self.next_send;
            self.next_send += 1;
            let entry = (send.service, target, observation, self.now);
            self.requests[number].sends.insert(id, entry);
            if send.reason != AttemptReason::First {
                self.extra_times[send.service].push(self.now);
            }
            match self.trouble_of(target) {
                Some(Trouble::Silent) => {
                    let gone = self.now + self.plan.deadline;
                    self.push(
                        gone,
                        Event::Reply {
                            request: number,
                            send: id,
                            is_run: false,
                        },
                    );
                }
                Some(Trouble::Shed) => {
                    let back = self.now + ONE_WAY * 2;
                    self.push(
                        back,
                        Event::Reply {
                            request: number,
                            send: id,
                            is_run: false,
                        },
                    );
                }
                _ if self.targets[target].queue.len() >= self.plan.queue => {
                    let back = self.now + ONE_WAY * 2;
                    self.push(
                        back,
                        Event::Reply {
                            request: number,
                            send: id,
                            is_run: false,
                        },
                    );
                }
                _ => {
                    self.targets[target]
                        .queue
                        .push_back((number, send.service, id));
                    self.serve_next(target);
                }
            }
        }
    }

    fn serve_next(&mut self, target: usize) {
        while self.targets[target].free_slots > 0 {
            let Some((request, _, send)) = self.targets[target].queue.pop_front() else {
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
            let slow = match self.trouble_of(target) {
                Some(Trouble::Slow(times)) => times,
                _ => 1.0,
            };
            let factor = self.targets[target].speed * tail * slow * spread.exp();
            let work = self.plan.work.mul_f64(factor);
            let end = self.now + ONE_WAY + self.paused(target) + work;
            self.push(
                end,
                Event::Finish {
                    target,
                    request,
                    send,
                },
            );
        }
    }

    /// What is left of a pause of the target.
    fn paused(&self, target: usize) -> Duration {
        let every = self.plan.pause_every.as_secs_f64();
        let at = (self.now + self.targets[target].pause_phase).as_secs_f64() % every;
        self.plan.pause.saturating_sub(Duration::from_secs_f64(at))
    }

    fn trouble_of(&self, target: usize) -> Option<Trouble> {
        let (_, trouble, from, to) = self.plan.trouble?;
        let is_now = self.now >= from && self.now < to;
        (is_now && self.targets[target].is_troubled).then_some(trouble)
    }

    fn reply(&mut self, number: usize, send: u64, is_run: bool) {
        let now = self.origin + self.now;
        let Some((service, target, observation, started)) =
            self.requests[number].sends.remove(&send)
        else {
            return;
        };
        let is_silent = matches!(self.trouble_of(target), Some(Trouble::Silent)) && !is_run;
        let (outcome, health) = match (is_run, is_silent) {
            (true, _) => (AttemptOutcome::Answered, HealthOutcome::Answered),
            (false, true) => (AttemptOutcome::Failed, HealthOutcome::Failed),
            (false, false) => (AttemptOutcome::NotRun, HealthOutcome::Shed),
        };
        let node = &mut self.nodes[self.requests[number].node];
        node.health[target].finish(&HealthSettings::default(), now, observation, health);
        if is_run {
            node.latencies.add(self.now - started);
        }
        if self.requests[number].is_over {
            return;
        }
        let elapsed = self.now - self.requests[number].arrived;
        self.requests[number].run.finish(elapsed, service, outcome);
        self.look(number);
    }

    /// Compares extra arrivals with the bound over every window that ends at an extra arrival.
    fn check_budget(&mut self) {
        let mut extras = 0;
        for times in &self.extra_times {
            extras += times.len();
            for (index, end) in times.iter().enumerate() {
                let from = end.saturating_sub(WINDOW);
                let extra = index + 1 - times.partition_point(|time| *time <= from);
                let asked = self.request_times.partition_point(|time| time <= end)
                    - self.request_times.partition_point(|time| *time <= from);
                let excess = extra as f64 - (RATIO * asked as f64 + SLACK);
                self.result.budget_excess = self.result.budget_excess.max(excess);
            }
        }
        let first = self.result.asked * self.plan.shards;
        self.result.extra_share = extras as f64 / first as f64;
    }
}
