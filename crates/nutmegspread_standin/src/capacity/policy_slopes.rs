//! Measures the time that the query policy needs for its decisions.

use super::call_timer::call_micros;
use super::{CapacityError, SlopeSeries};
use crate::searcher::shard_hits;
use indexmap::IndexMap;
use nutmegspread_model::{
    MonotonicTime, SearchReply, SearchRequest, ServiceSettings, ShardPlacement, SnapshotMap,
    SubOutcome, TargetId, TargetLimits, TargetState,
};
use nutmegspread_policy::query::{QueryAction, QueryInput, QueryPlan, QueryRun, ServiceTable};
use nutmegspread_policy::routing::{ServiceView, TargetShare, TargetView, VersionView};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::time::Duration;

/// Numbers of shards that the measured queries search.
const SHARD_COUNTS: [u32; 5] = [20, 60, 120, 240, 480];
/// Number of hits in each reply.
const HITS: u32 = 10;
/// Virtual time from the start of a query to its replies.
const REPLY_TIME: Duration = Duration::from_millis(5);

/// Measures all decisions for a query, from its start to its answer.
///
/// # Errors
/// Never at present; the return type is the same as that of the other measurements.
pub fn policy_slopes() -> Result<Vec<SlopeSeries>, CapacityError> {
    let mut points = Vec::new();
    for shards in SHARD_COUNTS {
        let view = service_view(shards);
        let replies = prepared_replies(shards);
        let mut table = ServiceTable::new(1);
        let mut now = MonotonicTime::from_secs(1);
        let time = call_micros(|| {
            now += 4 * REPLY_TIME;
            run_query(&view, &replies, &mut table, now)
        });
        points.push((f64::from(shards), time));
    }
    let cost = "µs of decisions from start to answer";
    Ok(vec![SlopeSeries {
        name: "query-decisions-time",
        size: "shards",
        cost,
        points,
    }])
}

/// Runs one query in which every attempt gets a reply; returns the number of hits in the answer.
fn run_query(
    view: &ServiceView,
    replies: &[SearchReply],
    table: &mut ServiceTable,
    now: MonotonicTime,
) -> usize {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut run = QueryRun::new(query_plan(view), now);
    let mut actions = run
        .step(now, QueryInput::Start, view, table, &mut random)
        .actions;
    let mut hits = 0;
    while let Some(action) = actions.pop() {
        let request = match action {
            QueryAction::Send { request, .. } => request,
            QueryAction::Answer(answer) => {
                hits = answer.hits.len();
                continue;
            }
            _ => continue,
        };
        let attempt = request.attempt;
        let outcome = SubOutcome::Reply(reply_to(&request, replies));
        let input = QueryInput::Outcome { attempt, outcome };
        actions.extend(
            run.step(now + REPLY_TIME, input, view, table, &mut random)
                .actions,
        );
    }
    hits
}

fn reply_to(request: &SearchRequest, replies: &[SearchReply]) -> SearchReply {
    let reply = replies[request.shard as usize].clone();
    SearchReply {
        request_id: request.request_id.clone(),
        attempt: request.attempt,
        ..reply
    }
}

fn query_plan(view: &ServiceView) -> QueryPlan {
    let version = &view.versions["1"];
    QueryPlan {
        request_id: "r".into(),
        service: "counter-desk".into(),
        version: "1".into(),
        map: version.map.clone().unwrap_or_default(),
        route: "search".into(),
        query: "granite".into(),
        k: HITS,
        deadline: Duration::from_secs(1),
    }
}

fn prepared_replies(shards: u32) -> Vec<SearchReply> {
    let reply = |shard| SearchReply {
        request_id: "r".into(),
        attempt: 0,
        snapshot: 1,
        shard,
        version: "1".into(),
        incarnation: 1,
        state: TargetState::Warm,
        complete: true,
        hits: shard_hits(1, shard, "granite", 4 * HITS, HITS),
    };
    (0..shards).map(reply).collect()
}

fn service_view(shards: u32) -> ServiceView {
    let target = |shard: u32, replica: u32| TargetId::from(format!("target-{replica}-{shard:03}"));
    let placement = |shard| ShardPlacement {
        replicas: vec![target(shard, 0), target(shard, 1)],
    };
    let map = SnapshotMap {
        service: "counter-desk".into(),
        version: "1".into(),
        snapshot: 1,
        shards: (0..shards).map(placement).collect(),
    };
    let target_ids = (0..shards).flat_map(|shard| [target(shard, 0), target(shard, 1)]);
    let targets = target_ids.map(|id| (id, Arc::new(target_view()))).collect();
    let version = VersionView {
        share: 1.0,
        map: Some(Arc::new(map)),
        previous_map: None,
        ..VersionView::default()
    };
    ServiceView {
        settings: ServiceSettings::default(),
        versions: IndexMap::from([("1".into(), version)]),
        targets,
    }
}

fn target_view() -> TargetView {
    TargetView {
        version: "1".into(),
        domain: "domain-1".into(),
        address: "127.0.0.1:9000".into(),
        limits: TargetLimits {
            slots: 1000,
            connections: 1000,
            ..Default::default()
        },
        accepts_work: true,
        owners: vec!["node-1".into(), "node-2".into()],
        share: TargetShare {
            slots: 500,
            connections: 500,
            leads: true,
        },
        ..Default::default()
    }
}
