//! Queries of one node in virtual time; the test decides what becomes of each attempt.

use nutmegspread_model::*;
use nutmegspread_policy::query::{QueryAction, QueryInput, QueryPlan, QueryRun, ServiceTable};
use nutmegspread_policy::routing::{ServiceView, TargetShare, TargetView, VersionView};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub const VERSION: &str = "1";

/// What happened, in order.
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

/// When and how an attempt ends; several ends are duplicates.
pub type AttemptFate = Vec<(Duration, SubOutcome)>;

pub struct QueryWorld {
    pub now: MonotonicTime,
    pub view: ServiceView,
    pub table: ServiceTable,
    pub log: Vec<LogEntry>,
    rng: Pcg64,
    runs: BTreeMap<RequestId, QueryRun>,
    wakes: BTreeMap<RequestId, MonotonicTime>,
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
            wakes: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
        }
    }

    /// Makes a snapshot the current one and adds its targets.
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
        fate: &mut impl FnMut(&TargetId, bool, &SearchRequest) -> AttemptFate,
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
        self.step(&request_id.into(), QueryInput::Start, fate);
    }

    /// The caller of a query goes away.
    pub fn abandon(&mut self, request_id: &str) {
        self.wakes.remove(request_id);
        if let Some(run) = self.runs.remove(request_id) {
            run.close(&mut self.table);
        }
    }

    pub fn deliver(
        &mut self,
        request_id: &RequestId,
        attempt: AttemptId,
        outcome: SubOutcome,
        fate: &mut impl FnMut(&TargetId, bool, &SearchRequest) -> AttemptFate,
    ) {
        let event = LogEvent::Delivered {
            attempt,
            outcome: outcome.clone(),
        };
        self.push_log(request_id, event);
        self.step(request_id, QueryInput::Outcome { attempt, outcome }, fate);
    }

    /// Lets everything happen that is due by then, and then sets the clock.
    pub fn run_until(
        &mut self,
        until: MonotonicTime,
        fate: &mut impl FnMut(&TargetId, bool, &SearchRequest) -> AttemptFate,
    ) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), (request_id, event)) = entry.remove_entry();
            self.now = self.now.max(at);
            match event {
                WorldEvent::Wake if self.wakes.get(&request_id) != Some(&at) => {}
                WorldEvent::Wake => {
                    self.wakes.remove(&request_id);
                    self.step(&request_id, QueryInput::Tick, fate);
                }
                WorldEvent::Outcome { attempt, outcome } => {
                    self.deliver(&request_id, attempt, outcome, fate);
                }
            }
        }
        self.now = self.now.max(until);
    }

    fn step(
        &mut self,
        request_id: &RequestId,
        input: QueryInput,
        fate: &mut impl FnMut(&TargetId, bool, &SearchRequest) -> AttemptFate,
    ) {
        let Some(run) = self.runs.get_mut(request_id) else {
            return;
        };
        let output = run.step(self.now, input, &self.view, &mut self.table, &mut self.rng);
        for action in output.actions {
            self.act(request_id, action, fate);
        }
        let Some(wake_at) = output.wake_at else {
            self.wakes.remove(request_id);
            return;
        };
        assert!(
            wake_at > self.now,
            "a wake-up at {wake_at:?} is not later than now"
        );
        if self.wakes.insert(request_id.clone(), wake_at) != Some(wake_at) {
            self.schedule(wake_at, request_id, WorldEvent::Wake);
        }
    }

    fn act(
        &mut self,
        request_id: &RequestId,
        action: QueryAction,
        fate: &mut impl FnMut(&TargetId, bool, &SearchRequest) -> AttemptFate,
    ) {
        let event = match action {
            QueryAction::Send {
                target,
                owner,
                extra,
                request,
            } => {
                let attempt = request.attempt;
                for (delay, outcome) in fate(&target, extra, &request) {
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

/// The whole reply that an attempt asks for.
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

/// An attempt for which nothing is planned.
pub fn no_fate(_: &TargetId, _: bool, _: &SearchRequest) -> AttemptFate {
    Vec::new()
}

/// Runs queries with quick whole replies, so that targets count as warm and latencies are known.
pub fn warm_up(world: &mut QueryWorld, queries: u32, latency: Duration) {
    let mut fate = |_: &TargetId, _: bool, request: &SearchRequest| {
        vec![(latency, SubOutcome::Reply(whole_reply(request, Vec::new())))]
    };
    for number in 0..queries {
        let until = world.now + latency * 2;
        world.start(
            &format!("warm-up-{number}"),
            1,
            Duration::from_secs(1),
            &mut fate,
        );
        world.run_until(until, &mut fate);
    }
    world.log.clear();
}
