//! An order runs at most once under any mix of faults, and a refusal never reports an order as not
//! run that did run.
//!
//! Each seed generates a history of nodes that crash and pause, platform calls that fail and attempts
//! that are lost. The test fails if a key runs twice, an answer contradicts the executions, or a node
//! does not run new orders after the faults have ended.

mod fault_plan;
mod history_run;
mod store_standin;

use history_run::{HistoryRun, SubmissionRecord};
use nutmegspread_policy::order::OrderVerdict;

/// Number of generated histories, one for each seed from 0.
const HISTORIES: u64 = 100_000;

/// Totals over all histories, which show that each kind of answer occurred often enough.
#[derive(Debug, Default)]
struct HistoryTotals {
    executions: u64,
    ran: u64,
    repeated: u64,
    not_run: u64,
    unknown: u64,
    unanswered: u64,
}

fn check_history(seed: u64, totals: &mut HistoryTotals) {
    let run = HistoryRun::run(seed);
    for (key, executions) in &run.executions {
        assert!(
            executions.len() <= 1,
            "seed {seed}: {key} ran more than once: {executions:?}"
        );
        totals.executions += 1;
    }
    for (number, record) in &run.submissions {
        check_submission(seed, &run, *number, record, totals);
    }
    for probe in &run.probes {
        let answers = &run.submissions[probe].answers;
        let ran = matches!(
            &answers[..],
            [(
                _,
                OrderVerdict::Ran {
                    repeated: false,
                    ..
                }
            )]
        );
        assert!(
            ran,
            "seed {seed}: an order did not run after the faults had ended: {answers:?}"
        );
    }
}

fn check_submission(
    seed: u64,
    run: &HistoryRun,
    number: u64,
    record: &SubmissionRecord,
    totals: &mut HistoryTotals,
) {
    let kept_running = record.epoch == run.epochs[record.node];
    let count = record.answers.len();
    assert!(
        count <= 1,
        "seed {seed}: submission {number} has {count} answers"
    );
    assert!(
        count == 1 || !kept_running,
        "seed {seed}: submission {number} has no answer"
    );
    let Some((time, verdict)) = record.answers.first() else {
        totals.unanswered += 1;
        return;
    };
    let execution = run
        .executions
        .get(&record.key)
        .and_then(|executions| executions.first());
    match verdict {
        OrderVerdict::Ran { result, repeated } => {
            let execution = execution.unwrap_or_else(|| {
                panic!("seed {seed}: submission {number} has a result, but its order never ran")
            });
            assert!(
                execution.time <= *time,
                "seed {seed}: submission {number} was answered before its order ran"
            );
            assert_eq!(
                execution.result, *result,
                "seed {seed}: submission {number} was answered with a different result"
            );
            assert_eq!(
                *repeated,
                execution.submission != number,
                "seed {seed}: submission {number} was answered with the wrong `repeated`"
            );
            totals.ran += 1;
            totals.repeated += u64::from(*repeated);
        }
        verdict if verdict.is_not_run() => {
            let ran = execution.is_some_and(|execution| execution.submission == number);
            assert!(
                !ran,
                "seed {seed}: submission {number} ran its order, but was answered {verdict:?}"
            );
            totals.not_run += 1;
        }
        OrderVerdict::Refused { .. } => totals.unknown += 1,
    }
}

#[test]
fn no_order_runs_twice_and_no_run_is_reported_as_not_run() {
    let mut totals = HistoryTotals::default();
    for seed in 0..HISTORIES {
        check_history(seed, &mut totals);
    }
    println!("{totals:?}");
    assert!(
        totals.executions > HISTORIES && totals.repeated > HISTORIES / 10,
        "{totals:?}"
    );
    assert!(
        totals.not_run > HISTORIES / 10 && totals.unknown > HISTORIES / 10,
        "{totals:?}"
    );
}
