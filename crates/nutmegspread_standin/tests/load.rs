//! Tests the arrival schedule, deployment plans, answer checks and baseline of the load command.

use nutmegspread_model::{CoverageReport, QueryAnswer, QueryRequest, RunState};
use nutmegspread_standin::load::{
    AnswerFault, CaseFigures, DeploymentKind, LoadCase, LoadSettings, QueryEnding, QueryOutcome,
    arrival_offsets, check_answer, run_load,
};
use nutmegspread_standin::searcher::merged_hits;
use std::time::Duration;

fn query() -> QueryRequest {
    QueryRequest {
        route: "lookup".into(),
        query: "brass".into(),
        k: 10,
        deadline_ms: None,
    }
}

/// Correct answer that covers all shards except the missing ones.
fn correct_answer(total: u32, missing: &[u32]) -> QueryAnswer {
    let covered = (0..total).filter(|shard| !missing.contains(shard));
    QueryAnswer {
        request_id: "r1".into(),
        snapshot: 1,
        version: "1".into(),
        coverage: CoverageReport {
            answered: total - missing.len() as u32,
            total,
            missing: missing.to_vec(),
        },
        hits: merged_hits(1, covered, "brass", 32, 10),
    }
}

#[test]
fn the_seed_determines_arrivals_at_the_given_rate() {
    let offsets = arrival_offsets(7, 100.0, Duration::from_secs(100));
    assert_eq!(offsets, arrival_offsets(7, 100.0, Duration::from_secs(100)));
    assert_ne!(offsets, arrival_offsets(8, 100.0, Duration::from_secs(100)));
    assert!(offsets.is_sorted());
    assert!(
        (9_500..10_500).contains(&offsets.len()),
        "{}",
        offsets.len()
    );
    assert!(arrival_offsets(7, 0.0, Duration::from_secs(1)).is_empty());
}

#[test]
fn replicas_are_in_different_domains_and_evenly_distributed() {
    for kind in [DeploymentKind::Guild, DeploymentKind::Kloofglas] {
        let plan = kind.plan();
        let targets = plan.targets();
        let domain_of = |id: &str| {
            targets
                .iter()
                .find(|target| *target.id == *id)
                .expect("a target")
                .domain
                .clone()
        };
        for service in &plan.services {
            let map = service.snapshot_map(&service.versions[0], &plan.domains);
            let mut replica_counts = indexmap::IndexMap::new();
            for shard in &map.shards {
                assert_ne!(domain_of(&shard.replicas[0]), domain_of(&shard.replicas[1]));
                for replica in &shard.replicas {
                    *replica_counts.entry(replica.clone()).or_insert(0) += 1;
                }
            }
            let expected = service.shards * 2 / service.searchers;
            assert!(
                replica_counts.values().all(|count| *count == expected),
                "{}",
                service.name
            );
            assert_eq!(replica_counts.len(), service.searchers as usize);
        }
    }
}

#[test]
fn the_answer_check_rejects_wrong_answers() {
    let plan = DeploymentKind::Guild.plan();
    let map = plan.services[0].snapshot_map(&"1".into(), &plan.domains);
    let complete = correct_answer(20, &[]);
    assert_eq!(check_answer(&query(), &complete, &map), Ok(()));
    assert_eq!(
        check_answer(&query(), &correct_answer(20, &[3, 9]), &map),
        Ok(())
    );

    let other_snapshot = QueryAnswer {
        snapshot: 2,
        ..complete.clone()
    };
    let fault = AnswerFault::Snapshot {
        found: 2,
        expected: 1,
    };
    assert_eq!(check_answer(&query(), &other_snapshot, &map), Err(fault));

    let overstated = QueryAnswer {
        hits: correct_answer(20, &[3, 9]).hits,
        ..complete.clone()
    };
    let missing_hits = merged_hits(1, [3, 9], "brass", 32, 10);
    assert!(
        missing_hits[0].score > overstated.hits[9].score,
        "the best hit of the missing shards must rank above the last hit of the others"
    );
    assert_eq!(
        check_answer(&query(), &overstated, &map),
        Err(AnswerFault::Hits)
    );

    let mut miscounted = correct_answer(20, &[3, 9]);
    miscounted.coverage.answered = 19;
    let result = check_answer(&query(), &miscounted, &map);
    assert!(matches!(
        result,
        Err(AnswerFault::Coverage { answered: 19, .. })
    ));

    let mut repeated = correct_answer(20, &[3, 9]);
    repeated.coverage.missing = vec![3, 3];
    let result = check_answer(&query(), &repeated, &map);
    assert!(matches!(result, Err(AnswerFault::Coverage { .. })));
}

#[test]
fn unanswered_queries_count_at_least_the_hard_deadline_as_latency() {
    let outcome = |ending, millis| QueryOutcome {
        ending,
        coverage: 0.0,
        ..QueryOutcome::failed(Duration::ZERO, Duration::from_millis(millis), String::new())
    };
    let outcomes = [
        QueryOutcome {
            coverage: 1.0,
            ..outcome(QueryEnding::Complete, 10)
        },
        QueryOutcome {
            coverage: 0.5,
            ..outcome(QueryEnding::Partial, 20)
        },
        outcome(QueryEnding::Refused(RunState::NotRun), 1),
        outcome(QueryEnding::Failed("broken".into()), 900),
    ];
    let figures = CaseFigures::from_outcomes(&outcomes, Duration::from_millis(500));
    assert_eq!(
        (
            figures.complete,
            figures.partial,
            figures.refused,
            figures.failed
        ),
        (1, 1, 1, 1)
    );
    assert_eq!(figures.coverage, 0.375);
    assert_eq!(figures.p50.as_millis(), 20);
    assert!(figures.longest >= Duration::from_millis(900));
    let refused = CaseFigures::from_outcomes(&outcomes[2..3], Duration::from_millis(500));
    assert!(refused.p50 >= Duration::from_millis(500));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_baseline_run_reports_figures_without_faults() {
    let settings = LoadSettings {
        deployment: DeploymentKind::Kloofglas,
        cases: vec![LoadCase::Healthy],
        case_time: Duration::from_millis(500),
        rate: Some(20.0),
        ..Default::default()
    };
    let report = run_load(settings).await.expect("a report");
    let figures = report.cases[0].baseline.as_ref().expect("baseline figures");
    assert!(!report.has_faults(), "{:?}", figures.faults);
    assert!(figures.queries > 0 && figures.failed == 0);
    assert!(report.to_markdown().contains("| healthy | baseline | 20 |"));
}
