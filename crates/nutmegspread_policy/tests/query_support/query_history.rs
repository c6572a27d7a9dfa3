//! Random histories of queries, and a naive computation of the answers that they have to give.

use super::query_world::{LogEvent, PlannedOutcomes, QueryWorld, VERSION, whole_reply};
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

/// A simulation whose queries have all ended.
pub struct QueryHistory {
    pub world: QueryWorld,
    /// Number of shards of each snapshot.
    pub shard_counts: IndexMap<SnapshotId, u32>,
    /// Attempts that a target has started to process.
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
    let outcome_state = RefCell::new((Pcg64::seed_from_u64(seed ^ 0xfa7e), BTreeSet::new()));
    let mut plan_outcomes = |_: &TargetId, _: bool, request: &SearchRequest| {
        let (rng, started) = &mut *outcome_state.borrow_mut();
        draw_outcomes(rng, started, request, current.get())
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
        world.start(
            &request.request_id,
            request.k,
            request.deadline,
            &mut plan_outcomes,
        );
        requests.push(request);
        let until = world.now + Duration::from_millis(rng.random_range(0..20));
        world.run_until(until, &mut plan_outcomes);
    }
    let until = world.now + Duration::from_secs(2);
    world.run_until(until, &mut plan_outcomes);
    let started = outcome_state.into_inner().1;
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

/// Draws the outcomes of one attempt: often a whole reply, else a failure, a late or wrong reply, a
/// second outcome, or none.
fn draw_outcomes(
    rng: &mut Pcg64,
    started: &mut BTreeSet<AttemptId>,
    request: &SearchRequest,
    current: SnapshotId,
) -> PlannedOutcomes {
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
    let mut outcomes = vec![(delay, SubOutcome::Reply(draw_reply(rng, request)))];
    match rng.random_range(0..12) {
        0 => outcomes.clear(),
        1 => outcomes[0].0 += Duration::from_millis(rng.random_range(0..200)),
        2 => outcomes.push((delay * 2, SubOutcome::Reply(draw_reply(rng, request)))),
        3 => outcomes.push((
            delay / 2,
            failure(SubFailure::ConnectionLost, RunState::Unknown),
        )),
        _ => {}
    }
    outcomes
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

/// The answer or refusal with which a query ended.
pub enum QueryEnd {
    Answered(QueryAnswer),
    Refused(RunState),
}

impl QueryHistory {
    /// Time and kind of the end of a query, and the events before it. Panics unless the query ended
    /// exactly once.
    pub fn end_of(&self, request_id: &RequestId) -> (MonotonicTime, QueryEnd, Vec<&LogEvent>) {
        let is_own = |entry: &&super::query_world::LogEntry| entry.request_id == *request_id;
        let entries: Vec<_> = self.world.log.iter().filter(is_own).collect();
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

    /// Computes the expected answer of a query at a snapshot directly from its log.
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
                    let sent = open.shift_remove(attempt);
                    if let (Some(sent), SubOutcome::Reply(reply)) = (sent, outcome)
                        && sent.snapshot == snapshot
                        && is_whole(&sent, reply)
                    {
                        shards
                            .entry(sent.shard)
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

fn is_whole(sent: &SearchRequest, reply: &SearchReply) -> bool {
    let expected = SearchReply {
        hits: reply.hits.clone(),
        state: reply.state,
        incarnation: reply.incarnation,
        ..whole_reply(sent, Vec::new())
    };
    let scores_valid = reply.hits.iter().all(|hit| !hit.score.is_nan());
    scores_valid && reply.hits.len() <= sent.k as usize && *reply == expected
}
