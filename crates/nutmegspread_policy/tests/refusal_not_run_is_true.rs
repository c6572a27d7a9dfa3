//! Tests that no target has started a request that a refusal reports as not run.

mod query_support;

use nutmegspread_model::{RunState, SubFailure, SubOutcome};
use nutmegspread_policy::query::AttemptStage;
use query_support::query_history::{QueryEnd, SEEDS, generate_history};
use query_support::query_world::LogEvent;

#[test]
fn scripts() {
    query_support::query_script::run_query_scripts("refusal_not_run_is_true");
}

#[test]
fn no_target_starts_a_request_refused_as_not_run() {
    let (mut not_run, mut unknown) = (0, 0);
    for seed in SEEDS {
        let history = generate_history(seed);
        for request in &history.requests {
            let (_, end, log) = history.end_of(&request.request_id);
            let QueryEnd::Refused(run) = end else {
                continue;
            };
            let started = log.iter().any(|event| match event {
                LogEvent::Sent { request, .. } => history.started.contains(&request.attempt),
                _ => false,
            });
            assert!(
                !(started && run == RunState::NotRun),
                "seed {seed}: {log:#?}"
            );
            match run {
                RunState::NotRun => not_run += 1,
                RunState::Unknown => unknown += 1,
            }
        }
    }
    assert!(
        not_run > 50 && unknown > 50,
        "{not_run} not run, {unknown} unknown"
    );
}

/// Checks the run state for every failure at every stage of an attempt.
#[test]
fn only_a_refusal_by_the_target_means_a_sent_attempt_did_not_run() {
    use SubFailure::*;
    let failures = [
        QueueFull,
        NotOwner,
        Cold,
        Shed,
        SnapshotGone,
        ConnectFailed,
        ConnectionLost,
        Silent,
        TimedOut,
        BadReply,
        TargetError,
        OwnerLost,
        Cancelled,
    ];
    for failure in failures {
        let before_sending = AttemptStage::Queued.failure_outcome(failure);
        assert_eq!(
            before_sending,
            SubOutcome::Failure {
                failure,
                run: RunState::NotRun
            }
        );
        let refused = matches!(failure, Shed | SnapshotGone);
        let run = if refused {
            RunState::NotRun
        } else {
            RunState::Unknown
        };
        let after_sending = AttemptStage::Sent.failure_outcome(failure);
        assert_eq!(after_sending, SubOutcome::Failure { failure, run });
        let ended = AttemptStage::Ended {
            run: RunState::Unknown,
        };
        assert_eq!(ended.after_failure(failure).run_state(), RunState::Unknown);
    }
}
