//! Orders run at most once, under every mix of faults, and refusals say the truth.

mod fake_store;
mod fault_plan;
mod history_run;

use history_run::{HistoryRun, SubmissionRecord};
use nutmegspread_policy::order::OrderVerdict;

/// Histories generated, one for each seed from 0 up.
const HISTORIES: u64 = 100_000;

/// What histories showed, so that a check over nothing is noticed.
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
            "seed {seed}: no progress after the faults: {answers:?}"
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
    let survived = record.epoch == run.epochs[record.node];
    let count = record.answers.len();
    assert!(
        count <= 1,
        "seed {seed}: submission {number} has {count} answers"
    );
    assert!(
        count == 1 || !survived,
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
            let execution = execution.unwrap_or_else(|| panic!("seed {seed}: nothing ran"));
            assert!(
                execution.time <= *time,
                "seed {seed}: answered before it ran"
            );
            assert_eq!(execution.result, *result, "seed {seed}: another result");
            assert_eq!(
                *repeated,
                execution.submission != number,
                "seed {seed}: {number}"
            );
            totals.ran += 1;
            totals.repeated += u64::from(*repeated);
        }
        verdict if verdict.is_not_run() => {
            let ran = execution.is_some_and(|execution| execution.submission == number);
            assert!(
                !ran,
                "seed {seed}: submission {number} ran, yet was told {verdict:?}"
            );
            totals.not_run += 1;
        }
        OrderVerdict::Refused { .. } => totals.unknown += 1,
    }
}

#[test]
fn no_history_runs_an_order_twice_or_denies_a_run() {
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
