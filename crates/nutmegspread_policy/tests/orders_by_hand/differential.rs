//! The journal against one global map, on histories without faults.

use crate::order_bench::{CallFate, JournalBench};
use indexmap::IndexMap;
use nutmegspread_model::RefusalReason;
use nutmegspread_policy::order::OrderVerdict;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Histories, one for each seed from 0 up.
const HISTORIES: u64 = 2000;
/// Submissions of one history.
const SUBMISSIONS: u32 = 40;
/// Age beyond which keys are refused.
const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Every order ever run: body and result by key.
#[derive(Default)]
struct NaiveJournal {
    orders: IndexMap<String, (String, String)>,
}

impl NaiveJournal {
    fn submit(&mut self, key: &str, body: &str, age: Duration, sheds: bool) -> String {
        match self.orders.get(key) {
            Some((other, _)) if other != body => describe_refusal(RefusalReason::KeyReused),
            Some((_, result)) => format!("ran {result} repeated true"),
            None if age > RETENTION => describe_refusal(RefusalReason::KeyExpired),
            None if sheds => describe_refusal(RefusalReason::NoTarget),
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

/// Moves everything on until nothing waits.
fn settle(bench: &mut JournalBench, nodes: u32, sheds: bool) {
    let end = if sheds { "shed" } else { "ran" };
    for _ in 0..4 {
        for node in (0..nodes).map(|node| format!("n{node}")) {
            while bench.move_call(&node, CallFate::Answered) || bench.end_dispatch(&node, end) {}
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
        let mut naive = NaiveJournal::default();
        for _ in 0..SUBMISSIONS {
            let node = format!("n{}", random.random_range(0..nodes));
            let number = random.random_range(0..8);
            let key = format!("k{number}");
            let body = if random.random_bool(0.1) {
                "other"
            } else {
                "urn"
            };
            // A key keeps its issue time; two of them are too old from the start.
            let age = if number < 2 {
                RETENTION + Duration::from_secs(1)
            } else {
                Duration::ZERO
            };
            let sheds = random.random_bool(0.2);
            bench.submit(&node, &key, body, age, Duration::from_secs(5));
            settle(&mut bench, nodes, sheds);
            let expected = naive.submit(&key, body, age, sheds);
            let answers: Vec<String> = bench
                .answers
                .drain(..)
                .map(|(_, verdict)| describe(&verdict))
                .collect();
            assert_eq!(answers, [expected], "seed {seed}: {key} {body} at {node}");
        }
    }
}
