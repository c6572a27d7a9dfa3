//! Only the monitoring group's verdicts change whether a target or failure domain is up.

use nutmegspread_model::{HealthVerdict, VerdictRecord};
use nutmegspread_policy::verdict::VerdictTable;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::{Duration, UNIX_EPOCH};

const SEEDS: u64 = 1_000;

fn record(subject: &str, verdict: HealthVerdict, sequence: u64) -> VerdictRecord {
    VerdictRecord {
        subject: subject.into(),
        verdict,
        sequence,
        decided_at: UNIX_EPOCH + Duration::from_secs(sequence),
    }
}

fn table_of(records: &[VerdictRecord]) -> VerdictTable {
    let mut table = VerdictTable::default();
    for record in records {
        table.apply(record);
    }
    table
}

#[test]
fn a_subject_without_a_verdict_is_up() {
    let table = VerdictTable::default();
    assert!(table.is_up("t-1", "north"));
    assert_eq!(table.return_count("t-1", "north"), 0);
}

#[test]
fn a_down_verdict_on_a_domain_applies_to_each_of_its_targets() {
    let mut table = VerdictTable::default();
    table.apply(&record("domain/north", HealthVerdict::Down, 1));
    assert!(!table.is_up("t-1", "north"));
    assert!(table.is_up("t-2", "south"));
    assert_eq!(table.down_subjects().collect::<Vec<_>>(), ["domain/north"]);
}

#[test]
fn a_target_named_like_a_domain_is_not_that_domain() {
    let table = table_of(&[record("north", HealthVerdict::Down, 1)]);
    assert!(table.is_up("t-1", "north"));
    assert!(!table.is_up("north", "south"));
}

#[test]
fn a_late_or_repeated_verdict_changes_nothing() {
    let mut table = table_of(&[
        record("t-1", HealthVerdict::Down, 4),
        record("t-1", HealthVerdict::Up, 5),
    ]);
    let before = table.clone();
    assert!(!table.apply(&record("t-1", HealthVerdict::Down, 4)));
    assert!(!table.apply(&record("t-1", HealthVerdict::Up, 5)));
    assert_eq!(table, before);
}

#[test]
fn each_return_of_a_target_or_domain_is_counted() {
    let table = table_of(&[
        record("t-1", HealthVerdict::Down, 1),
        record("t-1", HealthVerdict::Up, 2),
        record("t-1", HealthVerdict::Down, 3),
        record("t-1", HealthVerdict::Up, 4),
        record("domain/north", HealthVerdict::Down, 1),
        record("domain/north", HealthVerdict::Up, 2),
    ]);
    assert_eq!(table.return_count("t-1", "north"), 3);
    assert!(table.is_up("t-1", "north"));
}

#[test]
fn an_up_verdict_after_a_gap_in_the_sequence_counts_as_a_return() {
    let table = table_of(&[
        record("t-1", HealthVerdict::Up, 1),
        record("t-1", HealthVerdict::Up, 3),
    ]);
    assert_eq!(table.return_count("t-1", "north"), 1);
}

#[test]
fn an_up_verdict_repeated_with_the_next_sequence_is_not_a_return() {
    let table = table_of(&[
        record("t-1", HealthVerdict::Up, 1),
        record("t-1", HealthVerdict::Up, 2),
    ]);
    assert_eq!(table.return_count("t-1", "north"), 0);
}

/// Random sequence of up and down verdicts, in the order in which the monitoring group made them.
fn flapping_records(random: &mut Pcg64Mcg) -> Vec<VerdictRecord> {
    let count = random.random_range(1..20);
    let verdict = |is_up| {
        if is_up {
            HealthVerdict::Up
        } else {
            HealthVerdict::Down
        }
    };
    (1..=count)
        .map(|sequence| record("t-1", verdict(random.random()), sequence))
        .collect()
}

#[test]
fn the_newest_verdict_wins_and_no_return_is_missed_in_any_delivery_order() {
    for seed in 0..SEEDS {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let records = flapping_records(&mut random);
        let mut delivered = records.clone();
        delivered.extend(records.iter().filter(|_| random.random_bool(0.3)).cloned());
        delivered.shuffle(&mut random);
        let mut table = VerdictTable::default();
        let mut was_up = true;
        for record in &delivered {
            let previous_count = table.return_count("t-1", "north");
            table.apply(record);
            let is_up = table.is_up("t-1", "north");
            let is_counted = table.return_count("t-1", "north") > previous_count;
            assert!(was_up || !is_up || is_counted, "seed {seed}: {record:?}");
            was_up = is_up;
        }
        let newest = records.last().unwrap();
        let is_up = newest.verdict == HealthVerdict::Up;
        assert_eq!(table.is_up("t-1", "north"), is_up, "seed {seed}");
    }
}
