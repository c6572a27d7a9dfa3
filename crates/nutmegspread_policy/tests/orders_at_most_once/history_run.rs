//! One simulated history: nodes, store and target, in virtual time.

use crate::fault_plan::{FAULTS_END, FaultPlan, fault_occurs};
use crate::store_standin::StoreStandin;
use indexmap::IndexMap;
use nutmegspread_policy::order::{
    AttemptEnd, CallFailure, ClaimIdentity, JournalAction, JournalDocument, JournalInput,
    JournalPartition, JournalSettings, OrderSubmission, OrderVerdict,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Wall-clock time at virtual time 0, in seconds since the Unix epoch.
const WALL_START_SECS: u64 = 1_000_000;

/// Number of events after which a history counts as a livelock and fails.
const EVENT_LIMIT: u64 = 50_000;

/// An event of the simulation; `epoch` is that of the process which it concerns.
enum Event {
    Input {
        node: usize,
        epoch: u64,
        input: JournalInput,
    },
    Read {
        node: usize,
        epoch: u64,
        call: u64,
    },
    Write {
        node: usize,
        epoch: u64,
        call: u64,
        base: u64,
        document: Arc<JournalDocument>,
    },
    LateWrite {
        base: u64,
        document: Arc<JournalDocument>,
    },
    Send {
        node: usize,
        epoch: u64,
        dispatch: Dispatch,
    },
    Crash {
        node: usize,
    },
    Pause {
        node: usize,
        length: Duration,
    },
}

/// An attempt that is on its way to the target.
#[derive(Clone)]
struct Dispatch {
    key: Arc<str>,
    attempt: u64,
    submission: u64,
    send_by: Duration,
}

/// A node with its current process.
struct SimulatedNode {
    partition: JournalPartition,
    epoch: u64,
    paused_until: Duration,
    /// How far the monotonic clock is behind virtual time, because it stopped during pauses.
    clock_behind: Duration,
    wall_ahead: Duration,
    /// How far the wall clock is behind until the faults end.
    wall_behind: Duration,
    wake_at: Option<Duration>,
}

/// One execution of an order by the target.
#[derive(Clone, Debug)]
pub struct Execution {
    pub time: Duration,
    pub submission: u64,
    pub result: Arc<str>,
}

/// A submission, and the answers to it with the times at which they were given.
#[derive(Clone, Debug)]
pub struct SubmissionRecord {
    pub key: Arc<str>,
    pub node: usize,
    pub epoch: u64,
    pub answers: Vec<(Duration, OrderVerdict)>,
}

/// The simulation of one history, and its results.
pub struct HistoryRun {
    /// Executions by key.
    pub executions: IndexMap<Arc<str>, Vec<Execution>>,
    /// Submissions by number.
    pub submissions: IndexMap<u64, SubmissionRecord>,
    /// Submissions made after the faults have ended, each of which has to run its order.
    pub probes: Vec<u64>,
    /// Epoch of each node's last process.
    pub epochs: Vec<u64>,
    random: Pcg64Mcg,
    plan: FaultPlan,
    settings: JournalSettings,
    store: StoreStandin,
    nodes: Vec<SimulatedNode>,
    queue: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    time: Duration,
}

impl HistoryRun {
    /// Generates the history of a seed and runs it until no event is left.
    pub fn run(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let plan = FaultPlan::generate(&mut random);
        let settings = settings_of(&plan);
        let node_count = random.random_range(1..=3);
        let mut run = Self {
            executions: IndexMap::new(),
            submissions: IndexMap::new(),
            probes: Vec::new(),
            epochs: Vec::new(),
            random,
            plan,
            settings,
            store: StoreStandin::default(),
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            time: Duration::ZERO,
        };
        run.nodes = (0..node_count)
            .map(|node| run.start_node(node, 1))
            .collect();
        run.schedule_submissions();
        run.schedule_node_faults();
        run.schedule_probes();
        while let Some(((time, _), event)) = run.queue.pop_first() {
            run.time = time;
            assert!(
                run.sequence < EVENT_LIMIT,
                "seed {seed}: the history does not end"
            );
            run.handle(event);
        }
        run.epochs = run.nodes.iter().map(|node| node.epoch).collect();
        run
    }

    fn start_node(&mut self, node: usize, epoch: u64) -> SimulatedNode {
        let identity = ClaimIdentity {
            node: format!("n{node}").into(),
            incarnation: epoch,
            process_token: format!("n{node}.{epoch}").into(),
        };
        let seed = self.random.random();
        let wrong = fault_occurs(&mut self.random, self.time, self.plan.wrong_clock);
        let wall_behind = Duration::from_secs(if wrong { 9 } else { 0 });
        SimulatedNode {
            partition: JournalPartition::new(self.settings.clone(), identity, seed),
            epoch,
            paused_until: Duration::ZERO,
            clock_behind: Duration::ZERO,
            wall_ahead: self
                .plan
                .clock_skew
                .mul_f64(self.random.random_range(0.0..=1.0)),
            wall_behind,
            wake_at: None,
        }
    }

    fn schedule_submissions(&mut self) {
        let keys = self.random.random_range(1..=3_u32);
        for _ in 0..self.random.random_range(2..=8) {
            let key: Arc<str> = format!("k{}", self.random.random_range(0..keys)).into();
            let latest = if self.plan.short_retention {
                14_000
            } else {
                6000
            };
            let at = Duration::from_millis(self.random.random_range(0..latest));
            let digest = if self.random.random_bool(0.05) {
                "other"
            } else {
                "body"
            };
            let caller_timeout = Duration::from_millis(self.random.random_range(50..4000));
            self.schedule_submission(
                at,
                key,
                digest,
                UNIX_EPOCH + wall_of(Duration::ZERO),
                caller_timeout,
            );
        }
    }

    fn schedule_probes(&mut self) {
        let start = FAULTS_END + Duration::from_secs(30);
        for node in 0..self.nodes.len() {
            let issued_at = UNIX_EPOCH + wall_of(start);
            let key = format!("probe{node}").into();
            let caller_timeout = Duration::from_secs(4);
            let probe =
                self.schedule_submission_at(node, start, key, "body", issued_at, caller_timeout);
            self.probes.push(probe);
        }
    }

    fn schedule_submission(
        &mut self,
        at: Duration,
        key: Arc<str>,
        digest: &str,
        issued_at: SystemTime,
        caller_timeout: Duration,
    ) {
        let node = self.random.random_range(0..self.nodes.len());
        self.schedule_submission_at(node, at, key, digest, issued_at, caller_timeout);
    }

    fn schedule_submission_at(
        &mut self,
        node: usize,
        at: Duration,
        key: Arc<str>,
        digest: &str,
        issued_at: SystemTime,
        caller_timeout: Duration,
    ) -> u64 {
        let submission = self.submissions.len() as u64 + 1;
        let answers = Vec::new();
        let record = SubmissionRecord {
            key: key.clone(),
            node,
            epoch: 0,
            answers,
        };
        self.submissions.insert(submission, record);
        let submission = OrderSubmission {
            submission,
            key,
            digest: digest.into(),
            issued_at,
            deadline: caller_timeout,
        };
        let number = submission.submission;
        // Epoch 0 addresses the process that runs when the submission arrives.
        self.push_event(
            at,
            Event::Input {
                node,
                epoch: 0,
                input: JournalInput::Submit(submission),
            },
        );
        number
    }

    fn schedule_node_faults(&mut self) {
        for node in 0..self.nodes.len() {
            for _ in 0..3 {
                let at = Duration::from_millis(self.random.random_range(0..8000));
                if fault_occurs(&mut self.random, at, self.plan.crash) {
                    self.push_event(at, Event::Crash { node });
                }
                if fault_occurs(&mut self.random, at, self.plan.pause) {
                    let length = Duration::from_millis(self.random.random_range(100..9000));
                    self.push_event(at, Event::Pause { node, length });
                }
            }
        }
    }

    fn push_event(&mut self, time: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), event);
    }

    fn push_event_after(&mut self, delay: Duration, event: Event) {
        self.push_event(self.time + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Input { node, epoch, input } => self.handle_input(node, epoch, input),
            Event::Read { node, epoch, call } => self.handle_read(node, epoch, call),
            Event::Write {
                node,
                epoch,
                call,
                base,
                document,
            } => {
                self.handle_write(node, epoch, call, base, document);
            }
            Event::LateWrite { base, document } => {
                // The write was already reported as failed, so the result is dropped.
                let _ = self.store.write(base, document);
            }
            Event::Send {
                node,
                epoch,
                dispatch,
            } => self.handle_send(node, epoch, &dispatch),
            Event::Crash { node } => {
                let epoch = self.nodes[node].epoch + 1;
                self.nodes[node] = self.start_node(node, epoch);
            }
            Event::Pause { node, .. } if self.time < self.nodes[node].paused_until => {}
            Event::Pause { node, length } => {
                self.nodes[node].paused_until = self.time + length;
                if fault_occurs(&mut self.random, self.time, self.plan.suspend) {
                    self.nodes[node].clock_behind += length;
                }
            }
        }
    }

    fn handle_input(&mut self, node: usize, epoch: u64, input: JournalInput) {
        if epoch != 0 && epoch != self.nodes[node].epoch {
            return;
        }
        let paused_until = self.nodes[node].paused_until;
        if self.time < paused_until {
            self.push_event(paused_until, Event::Input { node, epoch, input });
            return;
        }
        let input = self.set_deadline(node, input);
        self.step(node, input);
    }

    /// Sets the deadline of a submission by the node's own clock, and records the node's epoch.
    fn set_deadline(&mut self, node: usize, input: JournalInput) -> JournalInput {
        let now = self.node_now(node);
        match input {
            JournalInput::Submit(mut submission) => {
                submission.deadline += now;
                let record = &mut self.submissions[&submission.submission];
                record.epoch = self.nodes[node].epoch;
                JournalInput::Submit(submission)
            }
            input => input,
        }
    }

    fn step(&mut self, node: usize, input: JournalInput) {
        let now = self.node_now(node);
        let wall = self.node_wall(node);
        let mut output = self.nodes[node].partition.step(now, wall, input);
        self.start_actions(node, output.actions);
        if output.needs_write {
            output = self.nodes[node]
                .partition
                .step(now, wall, JournalInput::Commit);
            self.start_actions(node, output.actions);
        }
        self.schedule_wake_up(node, now, output.wake_at);
    }

    fn schedule_wake_up(&mut self, node: usize, now: Duration, wake_at: Option<Duration>) {
        let Some(wake_at) = wake_at else {
            return;
        };
        assert!(
            wake_at > now,
            "a wake-up time in the past would cause a busy loop"
        );
        let pending = self.nodes[node].wake_at;
        if pending.is_some_and(|pending| pending > now && pending <= wake_at) {
            return;
        }
        self.nodes[node].wake_at = Some(wake_at);
        let epoch = self.nodes[node].epoch;
        self.push_event_after(
            wake_at - now,
            Event::Input {
                node,
                epoch,
                input: JournalInput::Tick,
            },
        );
    }

    fn start_actions(&mut self, node: usize, actions: Vec<JournalAction>) {
        let epoch = self.nodes[node].epoch;
        for action in actions {
            let delay = self.call_delay();
            match action {
                JournalAction::Read { call } => {
                    self.push_event_after(delay, Event::Read { node, epoch, call });
                }
                JournalAction::Write {
                    call,
                    base,
                    document,
                    ..
                } => {
                    self.push_event_after(
                        delay,
                        Event::Write {
                            node,
                            epoch,
                            call,
                            base,
                            document,
                        },
                    );
                }
                JournalAction::Dispatch {
                    key,
                    attempt,
                    submission,
                    send_by,
                } => {
                    let dispatch = Dispatch {
                        key,
                        attempt,
                        submission,
                        send_by,
                    };
                    let delay = Duration::from_micros(self.random.random_range(10..500));
                    self.push_event_after(
                        delay,
                        Event::Send {
                            node,
                            epoch,
                            dispatch,
                        },
                    );
                }
                JournalAction::Answer {
                    submission,
                    verdict,
                } => {
                    let time = self.time;
                    self.submissions[&submission].answers.push((time, verdict));
                }
            }
        }
    }

    fn call_delay(&mut self) -> Duration {
        let base = Duration::from_micros(self.random.random_range(500..5000));
        if self.time < FAULTS_END
            && !self.plan.call_slowdown.is_zero()
            && self.random.random_bool(0.5)
        {
            return base
                + self
                    .plan
                    .call_slowdown
                    .mul_f64(self.random.random_range(0.0..1.0));
        }
        base
    }

    fn answer_call(&mut self, node: usize, epoch: u64, input: JournalInput) {
        let delay = self.call_delay();
        self.push_event_after(delay, Event::Input { node, epoch, input });
    }

    fn handle_read(&mut self, node: usize, epoch: u64, call: u64) {
        let lost = fault_occurs(&mut self.random, self.time, self.plan.lost_request);
        let stale = if fault_occurs(&mut self.random, self.time, self.plan.stale_read) {
            self.random.random_range(1..4)
        } else {
            0
        };
        let result = if lost || self.plan.is_down(self.time) {
            Err(CallFailure::Unavailable)
        } else {
            Ok(self.store.read(stale))
        };
        self.answer_call(node, epoch, JournalInput::ReadDone { call, result });
    }

    fn handle_write(
        &mut self,
        node: usize,
        epoch: u64,
        call: u64,
        base: u64,
        document: Arc<JournalDocument>,
    ) {
        let down = self.plan.is_down(self.time);
        let result = if down || fault_occurs(&mut self.random, self.time, self.plan.lost_request) {
            Err(CallFailure::Unavailable)
        } else if fault_occurs(&mut self.random, self.time, self.plan.late_effect) {
            let delay = Duration::from_millis(self.random.random_range(1..5000));
            self.push_event_after(delay, Event::LateWrite { base, document });
            Err(CallFailure::Unavailable)
        } else {
            let result = self.store.write(base, document);
            let lost = fault_occurs(&mut self.random, self.time, self.plan.lost_answer);
            if lost {
                Err(CallFailure::Unavailable)
            } else {
                result
            }
        };
        self.answer_call(node, epoch, JournalInput::WriteDone { call, result });
    }

    fn handle_send(&mut self, node: usize, epoch: u64, dispatch: &Dispatch) {
        if epoch != self.nodes[node].epoch {
            return;
        }
        let paused_until = self.nodes[node].paused_until;
        if self.time < paused_until {
            let event = Event::Send {
                node,
                epoch,
                dispatch: dispatch.clone(),
            };
            self.push_event(paused_until, event);
            return;
        }
        // A process can be delayed between its check of the time and the send, so the journal must
        // not rely on the check.
        let skips_check = fault_occurs(&mut self.random, self.time, self.plan.late_send);
        if !skips_check && self.node_now(node) > dispatch.send_by {
            self.end_attempt(node, epoch, dispatch, AttemptEnd::NotStarted);
            return;
        }
        self.run_target(node, epoch, dispatch);
    }

    fn run_target(&mut self, node: usize, epoch: u64, dispatch: &Dispatch) {
        if fault_occurs(&mut self.random, self.time, self.plan.shed) {
            self.end_attempt(node, epoch, dispatch, AttemptEnd::NotStarted);
        } else if fault_occurs(&mut self.random, self.time, self.plan.attempt_lost_before) {
            self.end_attempt(node, epoch, dispatch, AttemptEnd::Lost);
        } else {
            let result = self.execute(dispatch);
            let lost = fault_occurs(&mut self.random, self.time, self.plan.attempt_lost_after);
            let end = if lost {
                AttemptEnd::Lost
            } else {
                AttemptEnd::Ran(result)
            };
            self.end_attempt(node, epoch, dispatch, end);
        }
    }

    fn execute(&mut self, dispatch: &Dispatch) -> Arc<str> {
        let executions = self.executions.entry(dispatch.key.clone()).or_default();
        let result: Arc<str> = format!("{}#{}", dispatch.key, executions.len()).into();
        let submission = dispatch.submission;
        executions.push(Execution {
            time: self.time,
            submission,
            result: result.clone(),
        });
        result
    }

    fn end_attempt(&mut self, node: usize, epoch: u64, dispatch: &Dispatch, end: AttemptEnd) {
        let mut delay = Duration::from_micros(self.random.random_range(500..20_000));
        if fault_occurs(&mut self.random, self.time, self.plan.attempt_late) {
            delay += Duration::from_millis(self.random.random_range(100..6000));
        }
        let Dispatch { key, attempt, .. } = dispatch.clone();
        let input = JournalInput::AttemptEnded { key, attempt, end };
        self.push_event_after(delay, Event::Input { node, epoch, input });
    }

    /// Wall clock of a node. A clock that is behind is corrected when the faults end.
    fn node_wall(&self, node: usize) -> SystemTime {
        let SimulatedNode {
            wall_ahead,
            wall_behind,
            ..
        } = &self.nodes[node];
        let behind = if self.time < FAULTS_END {
            *wall_behind
        } else {
            Duration::ZERO
        };
        UNIX_EPOCH + wall_of(self.time) + *wall_ahead - behind
    }

    fn node_now(&self, node: usize) -> Duration {
        self.time.saturating_sub(self.nodes[node].clock_behind)
    }
}

fn wall_of(time: Duration) -> Duration {
    Duration::from_secs(WALL_START_SECS) + time
}

fn settings_of(plan: &FaultPlan) -> JournalSettings {
    let retention = if plan.short_retention { 5 } else { 3600 };
    JournalSettings {
        retention: Duration::from_secs(retention),
        clock_skew: Duration::from_millis(500),
        claim_wait: Duration::from_millis(1500),
        call_timeout: Duration::from_secs(2),
        attempt_timeout: Duration::from_secs(5),
        ..Default::default()
    }
}
