//! Generated histories of queries, and the answers that they must give.

use super::query_world::{AttemptFate, LogEvent, QueryWorld, VERSION, whole_reply};
use indexmap::IndexMap;
use nutmegspread_model::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::time::Duration;

pub const SEEDS: std::ops::Range<u64> = 0..300;
const QUERIES: u32 = 40;
const TARGETS: u32 = 6;

/// A world after its queries have ended.
pub struct QueryHistory {
    pub world: QueryWorld,
    /// Number of shards of each snapshot.
    pub shard_counts: IndexMap<SnapshotId, u32>,
    /// Attempts that a target has started.
    pub started: BTreeSet<AttemptId>,
    pub requests: Vec<HistoryRequest>,
}

pub struct HistoryRequest {
    pub request_id: RequestId,
    pub arrived_at: MonotonicTime,
    pub k: u32,
    pub deadline: Duration,
}

/// Runs queries while snapshots, targets and replies change at random.
pub fn generate_history(seed: u64) -> QueryHistory {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut world = QueryWorld::new(seed);
    let mut shard_counts = IndexMap::new();
    let mut requests = Vec::new();
    let current = Cell::new(1);
    let fates = RefCell::new((Pcg64::seed_from_u64(seed ^ 0xfa7e), BTreeSet::new()));
    let mut fate = |_: &TargetId, _: bool, request: &SearchRequest| {
        let (rng, started) = &mut *fates.borrow_mut();
        draw_fate(rng, started, request, current.get())
    };
    change_settings(&mut world, &mut rng);
    publish(&mut world, &mut rng, 1, &mut shard_counts);
    for number in 0..QUERIES {
        match rng.random_range(0..8) {
            0 => {
                current.set(current.get() + 1);
                publish(&mut world, &mut rng, current.get(), &mut shard_counts);
            }
            1 => change_target(&mut world, &mut rng),
            _ => {}
        }
        let request = HistoryRequest {
            request_id: format!("r{number}").into(),
            arrived_at: world.now,
            k: rng.random_range(1..5),
            deadline: Duration::from_millis(rng.random_range(0..120)),
        };
        world.start(&request.request_id, request.k, request.deadline, &mut fate);
        requests.push(request);
        let until = world.now + Duration::from_millis(rng.random_range(0..20));
        world.run_until(until, &mut fate);
    }
    let until = world.now + Duration::from_secs(2);
    world.run_until(until, &mut fate);
    let started = fates.into_inner().1;
    QueryHistory {
        world,
        shard_counts,
        started,
        requests,
    }
}

fn change_settings(world: &mut QueryWorld, rng: &mut Pcg64) {
    let settings = &mut world.view.settings;
    let soft = rng.random_range(5..60);
    settings.coverage.soft_deadline = Duration::from_millis(soft);
    settings.coverage.hard_deadline = Duration::from_millis(soft + rng.random_range(0..60));
    settings.coverage.minimum_coverage = [0.0, 0.5, 0.8, 1.0][rng.random_range(0..4)];
    settings.budget.extra_fraction = [0.0, 0.05, 1.0][rng.random_range(0..3)];
    settings.budget.burst = [1, 20][rng.random_range(0..2)];
}

fn publish(
    world: &mut QueryWorld,
    rng: &mut Pcg64,
    snapshot: SnapshotId,
    shard_counts: &mut IndexMap<SnapshotId, u32>,
) {
    let shard_count = rng.random_range(1..=8);
    let mut replicas = || -> Vec<TargetId> {
        let first = rng.random_range(0..TARGETS);
        let count = rng.random_range(1..=3);
        (first..first + count)
            .map(|target| format!("t{}", target % TARGETS).into())
            .collect()
    };
    world.publish(snapshot, (0..shard_count).map(|_| replicas()).collect());
    shard_counts.insert(snapshot, shard_count);
}

fn change_target(world: &mut QueryWorld, rng: &mut Pcg64) {
    let name = format!("t{}", rng.random_range(0..TARGETS));
    if !world.view.targets.contains_key(name.as_str()) {
        return;
    }
    let accepts_work = rng.random_bool(0.7);
    let returned = rng.random_bool(0.3);
    world.change_target(&name, |view| {
        view.accepts_work = accepts_work;
        view.return_count += u64::from(returned);
    });
}

fn draw_fate(
    rng: &mut Pcg64,
    started: &mut BTreeSet<AttemptId>,
    request: &SearchRequest,
    current: SnapshotId,
) -> AttemptFate {
    let delay = Duration::from_micros(rng.random_range(0..10_000));
    if request.snapshot != current && rng.random_bool(0.7) {
        return vec![(delay, failure(SubFailure::SnapshotGone, RunState::NotRun))];
    }
    if rng.random_bool(0.2) {
        let failures = [
            SubFailure::QueueFull,
            SubFailure::NotOwner,
            SubFailure::Shed,
            SubFailure::Cold,
        ];
        return vec![(
            delay,
            failure(failures[rng.random_range(0..4)], RunState::NotRun),
        )];
    }
    started.insert(request.attempt);
    if rng.random_bool(0.1) {
        let failures = [
            SubFailure::ConnectionLost,
            SubFailure::Silent,
            SubFailure::TargetError,
        ];
        return vec![(
            delay,
            failure(failures[rng.random_range(0..3)], RunState::Unknown),
        )];
    }
    let mut fate = vec![(delay, SubOutcome::Reply(draw_reply(rng, request)))];
    match rng.random_range(0..12) {
        0 => fate.clear(),
        1 => fate[0].0 += Duration::from_millis(rng.random_range(0..200)),
        2 => fate.push((delay * 2, SubOutcome::Reply(draw_reply(rng, request)))),
        3 => fate.push((
            delay / 2,
            failure(SubFailure::ConnectionLost, RunState::Unknown),
        )),
        _ => {}
    }
    fate
}

fn failure(failure: SubFailure, run: RunState) -> SubOutcome {
    SubOutcome::Failure { failure, run }
}

fn draw_reply(rng: &mut Pcg64, request: &SearchRequest) -> SearchReply {
    let hit = |rank: u32| SearchHit {
        id: format!("d{}-{}-{rank}", request.snapshot, request.shard).into(),
        score: f64::from(rng.random_range(0..4)),
    };
    let hits = (0..request.k).map(hit).collect();
    let mut reply = whole_reply(request, hits);
    match rng.random_range(0..24) {
        0 => reply.request_id = "other".into(),
        1 => reply.attempt += 1,
        2 => reply.shard += 1,
        3 => reply.snapshot += 1,
        4 => reply.version = "2".into(),
        5 => reply.complete = false,
        6 => reply.hits[0].score = f64::NAN,
        7 => reply.hits.push(SearchHit {
            id: "beyond-k".into(),
            score: 9.0,
        }),
        8 => reply.state = TargetState::Cold,
        9 => reply.incarnation += 1,
        _ => {}
    }
    reply
}

/// How a query ended.
pub enum QueryEnd {
    Answered(QueryAnswer),
    Refused(RunState),
}

impl QueryHistory {
    /// The only end of a query, when it came, and the log before it.
    pub fn end_of(&self, request_id: &RequestId) -> (MonotonicTime, QueryEnd, Vec<&LogEvent>) {
        let own = |entry: &&super::query_world::LogEntry| entry.request_id == *request_id;
        let entries: Vec<_> = self.world.log.iter().filter(own).collect();
        let is_end =
            |event: &LogEvent| matches!(event, LogEvent::Answered(_) | LogEvent::Refused { .. });
        let ends: Vec<usize> = (0..entries.len())
            .filter(|index| is_end(&entries[*index].event))
            .collect();
        assert_eq!(ends.len(), 1, "query {request_id} has {} ends", ends.len());
        let last = entries[ends[0]];
        let end = match &last.event {
            LogEvent::Answered(answer) => QueryEnd::Answered(answer.clone()),
            LogEvent::Refused { run, .. } => QueryEnd::Refused(*run),
            _ => unreachable!(),
        };
        (
            last.at,
            end,
            entries[..ends[0]]
                .iter()
                .map(|entry| &entry.event)
                .collect(),
        )
    }

    /// The answer that the log of a query gives at a snapshot, worked out the long way.
    pub fn naive_answer(
        &self,
        request: &HistoryRequest,
        log: &[&LogEvent],
        snapshot: SnapshotId,
    ) -> QueryAnswer {
        let mut open: IndexMap<AttemptId, SearchRequest> = IndexMap::new();
        let mut shards: IndexMap<ShardId, Vec<SearchHit>> = IndexMap::new();
        for event in log {
            match event {
                LogEvent::Sent { request, .. } => {
                    open.insert(request.attempt, request.clone());
                }
                LogEvent::Cancelled(attempt) => {
                    open.shift_remove(attempt);
                }
                LogEvent::Delivered { attempt, outcome } => {
                    let asked = open.shift_remove(attempt);
                    if let (Some(asked), SubOutcome::Reply(reply)) = (asked, outcome)
                        && asked.snapshot == snapshot
                        && is_naively_whole(&asked, reply)
                    {
                        shards
                            .entry(asked.shard)
                            .or_insert_with(|| reply.hits.clone());
                    }
                }
                _ => {}
            }
        }
        let total = self.shard_counts[&snapshot];
        let missing = (0..total)
            .filter(|shard| !shards.contains_key(shard))
            .collect();
        let answered = shards.len() as u32;
        let mut hits: Vec<SearchHit> = shards.into_values().flatten().collect();
        hits.sort_by(|a, b| b.score.partial_cmp(&a.score).unwrap().then(a.id.cmp(&b.id)));
        hits.truncate(request.k as usize);
        QueryAnswer {
            request_id: request.request_id.clone(),
            snapshot,
            version: VERSION.into(),
            coverage: CoverageReport {
                answered,
                total,
                missing,
            },
            hits,
        }
    }
}

fn is_naively_whole(asked: &SearchRequest, reply: &SearchReply) -> bool {
    let expected = SearchReply {
        hits: reply.hits.clone(),
        state: reply.state,
        incarnation: reply.incarnation,
        ..whole_reply(asked, Vec::new())
    };
    let numbers = reply.hits.iter().all(|hit| !hit.score.is_nan());
    numbers && reply.hits.len() <= asked.k as usize && *reply == expected
}
