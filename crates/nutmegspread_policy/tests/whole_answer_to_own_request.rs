//! Each caller gets the whole answer to its own request.

use nutmegspread_model::*;
use nutmegspread_policy::query::{QueryAction, QueryInput, QueryPlan, QueryRun, ServiceTable};
use nutmegspread_policy::routing::{ServiceView, TargetShare, TargetView};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::sync::Arc;
use std::time::Duration;

#[test]
fn replies_of_two_shards_merge_into_one_answer() {
    let map = Arc::new(SnapshotMap {
        snapshot: 7,
        version: "1".into(),
        shards: vec![
            ShardPlacement {
                replicas: vec!["t0".into()],
            },
            ShardPlacement {
                replicas: vec!["t1".into()],
            },
        ],
        ..Default::default()
    });
    let mut view = ServiceView::default();
    for name in ["t0", "t1"] {
        let target = TargetView {
            version: "1".into(),
            takes_work: true,
            share: TargetShare {
                slots: 2,
                connections: 3,
                leads: true,
            },
            ..Default::default()
        };
        view.targets.insert(name.into(), Arc::new(target));
    }
    let plan = QueryPlan {
        request_id: "r".into(),
        version: "1".into(),
        map,
        k: 2,
        deadline: Duration::from_secs(1),
        ..Default::default()
    };
    let mut rng = Pcg64::seed_from_u64(1);
    let mut table = ServiceTable::new(100);
    let mut run = QueryRun::new(plan, Duration::ZERO);
    let output = run.step(
        Duration::ZERO,
        QueryInput::Start,
        &view,
        &mut table,
        &mut rng,
    );
    let sent: Vec<SearchRequest> = output
        .actions
        .into_iter()
        .filter_map(|action| match action {
            QueryAction::Send { request, .. } => Some(request),
            _ => None,
        })
        .collect();
    assert_eq!(sent.len(), 2);
    let mut last = Vec::new();
    for request in sent {
        let reply = SearchReply {
            request_id: request.request_id,
            attempt: request.attempt,
            snapshot: request.snapshot,
            shard: request.shard,
            version: "1".into(),
            incarnation: 1,
            state: TargetState::Warm,
            complete: true,
            hits: vec![SearchHit {
                id: format!("d{}", request.shard).into(),
                score: 1.0,
            }],
        };
        let input = QueryInput::Outcome {
            attempt: request.attempt,
            outcome: SubOutcome::Reply(reply),
        };
        let now = Duration::from_millis(1);
        last = run.step(now, input, &view, &mut table, &mut rng).actions;
    }
    let [QueryAction::Answer(answer)] = &last[..] else {
        panic!("no answer: {last:?}");
    };
    assert!(answer.coverage.is_complete());
    assert_eq!(answer.hits.len(), 2);
}
