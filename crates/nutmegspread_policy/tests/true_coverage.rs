//! Tests that every answer reports its coverage correctly.

mod query_support;

use query_support::query_history::{QueryEnd, SEEDS, generate_history};
use query_support::query_world::LogEvent;
use std::collections::BTreeSet;

#[test]
fn scripts() {
    query_support::query_script::run_query_scripts("true_coverage");
}

#[test]
fn reported_coverage_matches_the_replies_within_the_deadlines() {
    for seed in SEEDS {
        let history = generate_history(seed);
        let policy = &history.world.view.settings.coverage;
        for request in &history.requests {
            let (ended_at, end, log) = history.end_of(&request.request_id);
            let duration = ended_at - request.arrived_at;
            let limit = policy.hard_deadline.min(request.deadline);
            assert!(
                duration <= limit,
                "seed {seed}: {duration:?} exceeds {limit:?}"
            );
            let QueryEnd::Answered(answer) = end else {
                continue;
            };
            let expected = history.naive_answer(request, &log, answer.snapshot);
            assert_eq!(answer.coverage, expected.coverage, "seed {seed}");
            let has_minimum_coverage = answer.coverage.fraction() >= policy.minimum_coverage;
            let partial_allowed = has_minimum_coverage && duration >= policy.soft_deadline;
            let complete = answer.coverage.is_complete();
            assert!(
                complete || partial_allowed || duration == limit || all_attempts_ended(&log),
                "seed {seed}"
            );
        }
    }
}

/// Whether every attempt has ended by the end of the log.
fn all_attempts_ended(log: &[&LogEvent]) -> bool {
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
