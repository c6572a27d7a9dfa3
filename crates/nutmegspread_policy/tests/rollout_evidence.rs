//! Merging the query counts of several nodes gives the same totals for repeated and reordered
//! messages.

mod rollout_bench;

use nutmegspread_model::{RolloutRecord, RolloutState};
use nutmegspread_policy::rollout::{
    KnownRecord, NodeEvidence, QueryObservation, RolloutAction, RolloutInput, RolloutLimits,
    RolloutPolicy,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rollout_bench::example_rollout;
use std::time::Duration;

const SEEDS: u64 = 200;
const NODES: usize = 4;

fn known_record(confirmed: Duration) -> KnownRecord {
    let settings = example_rollout();
    KnownRecord {
        record: RolloutRecord {
            rollout: "move".into(),
            state: RolloutState::Running,
            step: 1,
            recorded_at: settings.start,
            finish_by: settings.finish_by,
            samples: 0,
            coordinator: "node-0".into(),
            lease_until: settings.start,
        },
        version: 1,
        token: None,
        confirmed: settings.start + confirmed,
    }
}

fn new_policy(node: usize, incarnation: u64) -> RolloutPolicy {
    let name = format!("node-{node}").into();
    let limits = RolloutLimits::default();
    let mut policy =
        RolloutPolicy::new("move".into(), example_rollout(), limits, name, incarnation);
    let start = example_rollout().start;
    let read = RolloutInput::RecordRead(known_record(Duration::ZERO));
    policy.step(Duration::ZERO, start, read);
    policy
}

fn random_observation(rng: &mut Pcg64Mcg) -> QueryObservation {
    let is_new = rng.random_bool(0.4);
    QueryObservation {
        version: if is_new { "new" } else { "old" }.into(),
        route: format!("route-{}", rng.random_range(0..3)).into(),
        domain: format!("domain-{}", rng.random_range(0..2)).into(),
        failed: false,
        shed: false,
        latency: Duration::from_millis(rng.random_range(5..30)),
    }
}

/// Simulates one process, and returns its query counts after each query and the number of queries
/// that the new version served.
fn evidence_history(node: usize, incarnation: u64, rng: &mut Pcg64Mcg) -> (Vec<NodeEvidence>, u64) {
    let mut policy = new_policy(node, incarnation);
    let start = example_rollout().start;
    let mut history = Vec::new();
    let mut exposed = 0;
    for _ in 0..rng.random_range(20..80) {
        let observation = random_observation(rng);
        exposed += u64::from(&*observation.version == "new");
        policy.step(Duration::ZERO, start, RolloutInput::QueryEnded(observation));
        history.push(policy.evidence());
    }
    (history, exposed)
}

/// Number of queries of the new version that a node has counted after it received the evidence, as
/// the node writes it to the record of the next step.
fn counted_samples(evidence: &[NodeEvidence]) -> u64 {
    let mut policy = new_policy(0, 9);
    let elapsed = Duration::from_secs(100);
    let wall = example_rollout().start + elapsed;
    for evidence in evidence {
        policy.step(elapsed, wall, RolloutInput::Evidence(evidence.clone()));
    }
    let read = RolloutInput::RecordRead(known_record(elapsed));
    let output = policy.step(elapsed, wall, read);
    let mut records = output.actions.iter().filter_map(|action| match action {
        RolloutAction::Write { record, .. } => Some(record.samples),
        RolloutAction::Read => None,
    });
    records.next_back().expect("the node writes the next step")
}

#[test]
fn repeated_and_reordered_counts_add_up_to_the_observed_queries() {
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut delivered = Vec::new();
        let mut expected = 0;
        for node in 1..=NODES {
            for incarnation in 1..=2 {
                let (history, exposed) = evidence_history(node, incarnation, &mut rng);
                expected += exposed;
                let repeats = history.iter().filter(|_| rng.random_bool(0.2)).cloned();
                delivered.extend(repeats.collect::<Vec<_>>());
                delivered.extend(history.last().cloned());
            }
        }
        delivered.shuffle(&mut rng);
        assert_eq!(counted_samples(&delivered), expected, "seed {seed}");
    }
}

#[test]
fn counts_of_another_rollout_are_ignored() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (history, _) = evidence_history(1, 1, &mut rng);
    let other = NodeEvidence {
        rollout: "other-move".into(),
        ..history.last().cloned().unwrap()
    };
    assert_eq!(counted_samples(&[other]), 0);
}
