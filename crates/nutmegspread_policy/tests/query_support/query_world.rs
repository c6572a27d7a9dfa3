//! Simulates the queries of one node in virtual time. The test determines the outcomes of each
//! attempt.

use nutmegspread_model::*;
use nutmegspread_policy::query::{QueryAction, QueryInput, QueryPlan, QueryRun, ServiceTable};
use nutmegspread_policy::routing::{ServiceView, TargetShare, TargetView, VersionView};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub const VERSION: &str = "1";

/// An event in the log of a query.
#[derive(Clone, Debug)]
pub enum LogEvent {
    Sent {
        target: TargetId,
        owner: Option<NodeId>,
        extra: bool,
        request: SearchRequest,
    },
    Delivered {
        attempt: AttemptId,
        outcome: SubOutcome,
    },
    Cancelled(AttemptId),
    Answered(QueryAnswer),
    Refused {
        reason: RefusalReason,
        run: RunState,
    },
}

#[derive(Clone, Debug)]
pub struct LogEntry {
    pub at: MonotonicTime,
    pub request_id: RequestId,
    pub event: LogEvent,
}

#[derive(Debug)]
enum WorldEvent {
    Wake,
    Outcome {
        attempt: AttemptId,
        outcome: SubOutcome,
    },
}

/// Outcomes of an attempt, each with its delay after sending. Any outcome after the first simulates
/// a duplicate; without any, the attempt stays unanswered.
pub type PlannedOutcomes = Vec<(Duration, SubOutcome)>;

pub struct QueryWorld {
    pub now: MonotonicTime,
    pub view: ServiceView,
    pub table: ServiceTable,
    pub log: Vec<LogEntry>,
    rng: Pcg64,
    runs: BTreeMap<RequestId, QueryRun>,
    /// Next wake-up time of each running query.
    wake_times: BTreeMap<RequestId, MonotonicTime>,
    events: BTreeMap<(MonotonicTime, u64), (RequestId, WorldEvent)>,
    next_event: u64,
}

impl QueryWorld {
    pub fn new(seed: u64) -> Self {
        let mut view = ServiceView::default();
        view.versions.insert(
            VERSION.into(),
            VersionView {
                share: 1.0,
                ..Default::default()
            },
        );
        Self {
            now: Duration::ZERO,
            view,
            table: ServiceTable::new(1),
            log: Vec::new(),
            rng: Pcg64::seed_from_u64(seed),
            runs: BTreeMap::new(),
            wake_times: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
        }
    }

    /// Makes a snapshot the current one and adds those of its targets that are new.
    pub fn publish(&mut self, snapshot: SnapshotId, shards: Vec<Vec<TargetId>>) {
        for target in shards.iter().flatten() {
            let known = self.view.targets.contains_key(target);
            if !known {
                self.view
                    .targets
                    .insert(target.clone(), Arc::new(usable_target()));
            }
        }
        let placement = |replicas| ShardPlacement { replicas };
        let map = SnapshotMap {
            service: "s".into(),
            version: VERSION.into(),
            snapshot,
            shards: shards.into_iter().map(placement).collect(),
        };
        let version = self.view.versions.get_mut(VERSION).unwrap();
        version.previous_map = version.map.replace(Arc::new(map));
    }

    pub fn change_target(&mut self, target: &str, change: impl FnOnce(&mut TargetView)) {
        let view = self.view.targets.get_mut(target).unwrap();
        change(Arc::make_mut(view));
    }

    pub fn start(
        &mut self,
        request_id: &str,
        k: u32,
        deadline: Duration,
        plan_outcomes: &mut impl FnMut(&TargetId, bool, &SearchRequest) -> PlannedOutcomes,
    ) {
        let plan = QueryPlan {
            request_id: request_id.into(),
            service: "s".into(),
            version: VERSION.into(),
            map: self.view.versions[VERSION].map.clone().unwrap(),
            k,
            deadline,
            ..Default::default()
        };
        let run = QueryRun::new(plan, self.now);
        self.runs.insert(request_id.into(), run);
        self.step(&request_id.into(), QueryInput::Start, plan_outcomes);
    }

    /// Ends a query as if its caller had disconnected.
    pub fn disconnect(&mut self, request_id: &str) {
        self.wake_times.remove(request_id);
        if let Some(run) = self.runs.remove(request_id) {
            run.close(&mut self.table);
        }
    }

    pub fn deliver(
        &mut self,
        request_id: &RequestId,
        attempt: AttemptId,
        outcome: SubOutcome,
        plan_outcomes: &mut impl FnMut(&TargetId, bool, &SearchRequest) -> PlannedOutcomes,
    ) {
        let event = LogEvent::Delivered {
            attempt,
            outcome: outcome.clone(),
        };
        self.push_log(request_id, event);
        self.step(
            request_id,
            QueryInput::Outcome { attempt, outcome },
            plan_outcomes,
        );
    }

    /// Processes all events that are due until `until`, then advances the clock to it.
    pub fn run_until(
        &mut self,
        until: MonotonicTime,
        plan_outcomes: &mut impl FnMut(&TargetId, bool, &SearchRequest) -> PlannedOutcomes,
    ) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), (request_id, event)) = entry.remove_entry();
            self.now = self.now.max(at);
            match event {
                WorldEvent::Wake if self.wake_times.get(&request_id) != Some(&at) => {}
                WorldEvent::Wake => {
                    self.wake_times.remove(&request_id);
                    self.step(&request_id, QueryInput::Tick, plan_outcomes);
                }
                WorldEvent::Outcome { attempt, outcome } => {
                    self.deliver(&request_id, attempt, outcome, plan_outcomes);
                }
            }
        }
        self.now = self.now.max(until);
    }

    fn step(
        &mut self,
        request_id: &RequestId,
        input: QueryInput,
        plan_outcomes: &mut impl FnMut(&TargetId, bool, &SearchRequest) -> PlannedOutcomes,
    ) {
        let Some(run) = self.runs.get_mut(request_id) else {
            return;
        };
        let output = run.step(self.now, input, &self.view, &mut self.table, &mut self.rng);
        for action in output.actions {
            self.perform(request_id, action, plan_outcomes);
        }
        let Some(wake_at) = output.wake_at else {
            self.wake_times.remove(request_id);
            return;
        };
        assert!(
            wake_at > self.now,
            "wake_at {wake_at:?} is not in the future"
        );
        if self.wake_times.insert(request_id.clone(), wake_at) != Some(wake_at) {
            self.schedule(wake_at, request_id, WorldEvent::Wake);
        }
    }

    fn perform(
        &mut self,
        request_id: &RequestId,
        action: QueryAction,
        plan_outcomes: &mut impl FnMut(&TargetId, bool, &SearchRequest) -> PlannedOutcomes,
    ) {
        let event = match action {
            QueryAction::Send {
                target,
                owner,
                extra,
                request,
            } => {
                let attempt = request.attempt;
                for (delay, outcome) in plan_outcomes(&target, extra, &request) {
                    let event = WorldEvent::Outcome { attempt, outcome };
                    self.schedule(self.now + delay, request_id, event);
                }
                LogEvent::Sent {
                    target,
                    owner,
                    extra,
                    request,
                }
            }
            QueryAction::Cancel { attempt } => LogEvent::Cancelled(attempt),
            QueryAction::Answer(answer) => LogEvent::Answered(answer),
            QueryAction::Refuse { reason, run, .. } => LogEvent::Refused { reason, run },
        };
        self.push_log(request_id, event);
    }

    fn push_log(&mut self, request_id: &RequestId, event: LogEvent) {
        self.log.push(LogEntry {
            at: self.now,
            request_id: request_id.clone(),
            event,
        });
    }

    fn schedule(&mut self, at: MonotonicTime, request_id: &RequestId, event: WorldEvent) {
        let key = (at, self.next_event);
        self.next_event += 1;
        self.events.insert(key, (request_id.clone(), event));
    }
}

pub fn usable_target() -> TargetView {
    TargetView {
        version: VERSION.into(),
        accepts_work: true,
        share: TargetShare {
            slots: 2,
            connections: 3,
            leads: true,
        },
        ..Default::default()
    }
}

/// A whole reply to a sub-request, with the given hits.
pub fn whole_reply(request: &SearchRequest, hits: Vec<SearchHit>) -> SearchReply {
    SearchReply {
        request_id: request.request_id.clone(),
        attempt: request.attempt,
        snapshot: request.snapshot,
        shard: request.shard,
        version: VERSION.into(),
        incarnation: 1,
        state: TargetState::Warm,
        complete: true,
        hits,
    }
}

/// Plans no outcomes, so that the attempt stays unanswered.
pub fn no_outcomes(_: &TargetId, _: bool, _: &SearchRequest) -> PlannedOutcomes {
    Vec::new()
}

/// Runs queries whose attempts all get a whole reply after `latency`, so that targets count as warm
/// and latencies are known. Clears the log.
pub fn warm_up(world: &mut QueryWorld, queries: u32, latency: Duration) {
    let mut plan_outcomes = |_: &TargetId, _: bool, request: &SearchRequest| {
        vec![(latency, SubOutcome::Reply(whole_reply(request, Vec::new())))]
    };
    for number in 0..queries {
        let until = world.now + latency * 2;
        world.start(
            &format!("warm-up-{number}"),
            1,
            Duration::from_secs(1),
            &mut plan_outcomes,
        );
        world.run_until(until, &mut plan_outcomes);
    }
    world.log.clear();
}
