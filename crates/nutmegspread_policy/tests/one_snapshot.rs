//! Tests that all hits of an answer come from one snapshot of the index.

mod query_support;

use query_support::query_history::{QueryEnd, SEEDS, generate_history};
use query_support::query_world::LogEvent;

#[test]
fn scripts() {
    query_support::query_script::run_query_scripts("one_snapshot");
}

#[test]
fn answers_contain_no_hits_of_other_snapshots() {
    let mut restarted = 0;
    for seed in SEEDS {
        let history = generate_history(seed);
        for request in &history.requests {
            let (_, end, log) = history.end_of(&request.request_id);
            let QueryEnd::Answered(answer) = end else {
                continue;
            };
            let prefix = format!("d{}-", answer.snapshot);
            let same_snapshot = answer.hits.iter().all(|hit| hit.id.starts_with(&prefix));
            assert!(same_snapshot, "seed {seed}: {answer:?}");
            let first = log.iter().find_map(|event| match event {
                LogEvent::Sent { request, .. } => Some(request.snapshot),
                _ => None,
            });
            restarted += u32::from(first.is_some_and(|first| first < answer.snapshot));
        }
    }
    assert!(restarted > 20, "only {restarted} queries were restarted");
}
