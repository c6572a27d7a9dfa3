//! Measures the CPU time per sub-request of a query, and of the targets to which it sends attempts.
//!
//! `cargo bench -p nutmegspread_policy --bench query_cost`

use nutmegspread_model::*;
use nutmegspread_policy::query::{
    QueryAction, QueryInput, QueryOutput, QueryPlan, QueryRun, ServiceTable,
};
use nutmegspread_policy::routing::{ServiceView, TargetShare, TargetView};
use nutmegspread_policy::target::{OwnedTarget, TargetAction, TargetInput, TicketResult};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

const REPLICAS: u32 = 2;
const HITS: u32 = 10;
const SHARD_COUNTS: [u32; 3] = [40, 120, 480];
const SUB_REQUESTS: u32 = 480_000;

/// A service with its targets, and the CPU time that the queries have taken.
struct BenchWorld {
    now: MonotonicTime,
    map: Arc<SnapshotMap>,
    view: ServiceView,
    table: ServiceTable,
    targets: indexmap::IndexMap<TargetId, OwnedTarget>,
    rng: Pcg64,
    query_time: Duration,
    target_time: Duration,
}

fn main() {
    println!("{REPLICAS} replicas, {HITS} hits per reply, {SUB_REQUESTS} sub-requests");
    for shard_count in SHARD_COUNTS {
        let mut world = BenchWorld::new(shard_count);
        world.run(SUB_REQUESTS / shard_count / 10);
        (world.query_time, world.target_time) = (Duration::ZERO, Duration::ZERO);
        let queries = SUB_REQUESTS / shard_count;
        world.run(queries);
        let count = f64::from(queries * shard_count);
        let micros = |time: Duration| time.as_secs_f64() * 1e6 / count;
        println!(
            "{shard_count} shards: query {:.2} us, target {:.2} us per sub-request",
            micros(world.query_time),
            micros(world.target_time)
        );
    }
}

impl BenchWorld {
    fn new(shard_count: u32) -> Self {
        let target_name = |number: u32| -> TargetId { format!("t{}", number % shard_count).into() };
        let replicas = |shard| {
            (0..REPLICAS)
                .map(|replica| target_name(shard + replica))
                .collect()
        };
        let placement = |shard| ShardPlacement {
            replicas: replicas(shard),
        };
        let limits = TargetLimits {
            slots: 4,
            cold_slots: 4,
            warm_after: 1,
            ..Default::default()
        };
        let share = TargetShare {
            slots: 4,
            connections: 5,
            leads: true,
        };
        let mut world = Self {
            now: Duration::ZERO,
            map: Arc::new(SnapshotMap {
                version: "1".into(),
                snapshot: 1,
                shards: (0..shard_count).map(placement).collect(),
                ..Default::default()
            }),
            view: ServiceView::default(),
            table: ServiceTable::new(1),
            targets: Default::default(),
            rng: Pcg64::seed_from_u64(1),
            query_time: Duration::ZERO,
            target_time: Duration::ZERO,
        };
        for number in 0..shard_count {
            let view = TargetView {
                version: "1".into(),
                accepts_work: true,
                share,
                ..Default::default()
            };
            world
                .view
                .targets
                .insert(target_name(number), Arc::new(view));
            let mut target = OwnedTarget::new(limits.clone(), 8, world.now);
            target.step(
                world.now,
                TargetInput::Share {
                    share,
                    return_count: 0,
                },
            );
            for connection in 0..u64::from(share.connections) {
                let now = Duration::from_millis(10 * connection);
                target.step(now, TargetInput::Opened { connection });
                target.step(now + Duration::from_millis(6), TargetInput::Tick);
            }
            world.targets.insert(target_name(number), target);
        }
        world.now = Duration::from_secs(1);
        world
    }

    fn run(&mut self, queries: u32) {
        for number in 0..queries {
            self.now += Duration::from_millis(1);
            self.run_query(format!("q{number}").into());
        }
    }

    fn run_query(&mut self, request_id: RequestId) {
        let plan = QueryPlan {
            request_id,
            version: "1".into(),
            map: self.map.clone(),
            k: HITS,
            deadline: Duration::from_secs(1),
            ..Default::default()
        };
        let mut run = QueryRun::new(plan, self.now);
        let output = self.step_query(&mut run, QueryInput::Start);
        let mut pending = VecDeque::from(output.actions);
        while let Some(action) = pending.pop_front() {
            match action {
                QueryAction::Send {
                    target, request, ..
                } => {
                    self.submit_attempt(&target, request.attempt);
                    let outcome = SubOutcome::Reply(reply_to(&request));
                    let attempt = request.attempt;
                    let input = QueryInput::Outcome { attempt, outcome };
                    pending.extend(self.step_query(&mut run, input).actions);
                }
                QueryAction::Answer(answer) => assert!(answer.coverage.is_complete()),
                other => panic!("{other:?}"),
            }
        }
    }

    fn step_query(&mut self, run: &mut QueryRun, input: QueryInput) -> QueryOutput {
        let start = Instant::now();
        let output = run.step(self.now, input, &self.view, &mut self.table, &mut self.rng);
        self.query_time += start.elapsed();
        output
    }

    fn submit_attempt(&mut self, target: &TargetId, ticket: u64) {
        let deadline = self.now + Duration::from_secs(1);
        let target = &mut self.targets[target];
        let latency = Duration::from_millis(1);
        let result = TicketResult::Replied {
            state: TargetState::Warm,
            incarnation: 1,
            latency,
        };
        let start = Instant::now();
        let output = target.step(
            self.now,
            TargetInput::Submit {
                ticket,
                extra: false,
                deadline,
            },
        );
        target.step(self.now, TargetInput::Finished { ticket, result });
        self.target_time += start.elapsed();
        let sent = output
            .actions
            .iter()
            .any(|action| matches!(action, TargetAction::Send { .. }));
        assert!(sent, "{:?}", output.actions);
    }
}

fn reply_to(request: &SearchRequest) -> SearchReply {
    let hit = |rank: u32| SearchHit {
        id: format!("d{}-{rank}", request.shard).into(),
        score: f64::from((request.shard * 31 + rank * 17) % 1000),
    };
    SearchReply {
        request_id: request.request_id.clone(),
        attempt: request.attempt,
        snapshot: request.snapshot,
        shard: request.shard,
        version: "1".into(),
        incarnation: 1,
        state: TargetState::Warm,
        complete: true,
        hits: (0..HITS).map(hit).collect(),
    }
}
