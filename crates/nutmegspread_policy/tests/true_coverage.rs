//! Every answer states its coverage truly.

mod query_support;

use query_support::query_history::{QueryEnd, SEEDS, generate_history};
use query_support::query_world::LogEvent;
use std::collections::BTreeSet;

#[test]
fn scripts() {
    query_support::query_script::run_query_scripts("true_coverage");
}

#[test]
fn stated_shards_were_answered_within_the_deadlines() {
    for seed in SEEDS {
        let history = generate_history(seed);
        let policy = &history.world.view.settings.coverage;
        for request in &history.requests {
            let (ended_at, end, log) = history.end_of(&request.request_id);
            let time = ended_at - request.arrived_at;
            let limit = policy.hard_deadline.min(request.deadline);
            assert!(time <= limit, "seed {seed}: {time:?} is beyond {limit:?}");
            let QueryEnd::Answered(answer) = end else {
                continue;
            };
            let expected = history.naive_answer(request, &log, answer.snapshot);
            assert_eq!(answer.coverage, expected.coverage, "seed {seed}");
            let enough = answer.coverage.fraction() >= policy.minimum_coverage;
            let cut = enough && time >= policy.soft_deadline;
            let whole = answer.coverage.is_complete();
            assert!(
                whole || cut || time == limit || log_is_settled(&log),
                "seed {seed}"
            );
        }
    }
}

/// Whether no attempt was out at the end of the log.
fn log_is_settled(log: &[&LogEvent]) -> bool {
    let mut open = BTreeSet::new();
    for event in log {
        match event {
            LogEvent::Sent { request, .. } => {
                open.insert(request.attempt);
            }
            LogEvent::Cancelled(attempt) | LogEvent::Delivered { attempt, .. } => {
                open.remove(attempt);
            }
            _ => {}
        }
    }
    open.is_empty()
}
