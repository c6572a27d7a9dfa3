//! Compares the journal with a reference, one global map, in histories without faults.

use crate::order_bench::{CallOutcome, JournalBench};
use indexmap::IndexMap;
use nutmegspread_model::RefusalReason;
use nutmegspread_policy::order::OrderVerdict;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Number of generated histories, one for each seed from 0.
const HISTORIES: u64 = 2000;
/// Number of submissions of one history.
const SUBMISSIONS: u32 = 40;
/// Age above which keys are refused.
const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Reference for the journal: body and result of every order that ran, by key.
#[derive(Default)]
struct ReferenceJournal {
    orders: IndexMap<String, (String, String)>,
}

impl ReferenceJournal {
    fn submit(&mut self, key: &str, body: &str, age: Duration, target_sheds: bool) -> String {
        match self.orders.get(key) {
            Some((other, _)) if other != body => describe_refusal(RefusalReason::KeyReused),
            Some((_, result)) => format!("ran {result} repeated true"),
            None if age > RETENTION => describe_refusal(RefusalReason::KeyExpired),
            None if target_sheds => describe_refusal(RefusalReason::NoTarget),
            None => {
                let result = format!("{key}#1");
                self.orders
                    .insert(key.into(), (body.into(), result.clone()));
                format!("ran {result} repeated false")
            }
        }
    }
}

fn describe_refusal(reason: RefusalReason) -> String {
    format!("refused {reason:?} NotRun")
}

fn describe(verdict: &OrderVerdict) -> String {
    match verdict {
        OrderVerdict::Ran { result, repeated } => format!("ran {result} repeated {repeated}"),
        OrderVerdict::Refused { reason, run, .. } => format!("refused {reason:?} {run:?}"),
    }
}

/// Completes all calls and attempts until none is left.
fn run_until_idle(bench: &mut JournalBench, nodes: u32, target_sheds: bool) {
    let end = if target_sheds { "shed" } else { "ran" };
    for _ in 0..4 {
        for node in (0..nodes).map(|node| format!("n{node}")) {
            while bench.complete_call(&node, CallOutcome::Answered)
                || bench.end_dispatch(&node, end)
            {}
        }
        bench.wait(Duration::from_millis(60));
    }
}

#[test]
fn verdicts_equal_those_of_one_global_map() {
    for seed in 0..HISTORIES {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let nodes = random.random_range(1..=3);
        let mut bench = JournalBench::default();
        (0..nodes).for_each(|node| bench.start_node(&format!("n{node}")));
        let mut reference = ReferenceJournal::default();
        for _ in 0..SUBMISSIONS {
            let node = format!("n{}", random.random_range(0..nodes));
            let number = random.random_range(0..8);
            let key = format!("k{number}");
            let body = if random.random_bool(0.1) {
                "other"
            } else {
                "urn"
            };
            // Every submission of a key has the same age; two of the keys are always too old.
            let age = if number < 2 {
                RETENTION + Duration::from_secs(1)
            } else {
                Duration::ZERO
            };
            let target_sheds = random.random_bool(0.2);
            bench.submit(&node, &key, body, age, Duration::from_secs(5));
            run_until_idle(&mut bench, nodes, target_sheds);
            let expected = reference.submit(&key, body, age, target_sheds);
            let answers: Vec<String> = bench
                .answers
                .drain(..)
                .map(|(_, verdict)| describe(&verdict))
                .collect();
            assert_eq!(answers, [expected], "seed {seed}: {key} {body} at {node}");
        }
    }
}
