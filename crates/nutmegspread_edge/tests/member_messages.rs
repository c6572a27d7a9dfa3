//! Encoding and size of the messages between nodes.

use nutmegspread_edge::{decode_message, decode_table, encode_message, encode_table};
use nutmegspread_tier::{AnswerCounts, MemberRecord, RolloutEvidence, TableChanges, VersionCounts};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::net::SocketAddr;

fn record(known: usize) -> MemberRecord {
    MemberRecord {
        node: "front-domain-a-12".into(),
        started_ms: 1_772_150_000_123,
        callers: SocketAddr::from(([10, 1, 0, 9], 8104)),
        peers: SocketAddr::from(([10, 1, 0, 9], 7380)),
        domain: "domain-a".into(),
        cores: 0.25,
        ready: true,
        serves: true,
        reaches_store: false,
        revisions: vec![4_321, 4_329, 17],
        ages_ms: vec![400, 1_400, 60_000],
        known: (0..known)
            .map(|number| SocketAddr::from(([10, 2, 0, number as u8], 7380)))
            .collect(),
        rollouts: Vec::new(),
        is_rare: false,
        table: 0,
        level: 0,
        era: 0,
        kept_version: 0,
    }
}

#[test]
fn decoding_reverses_encoding() {
    for known in [0, 1, 8] {
        let message = encode_message(&record(known)).expect("a record encodes");
        assert_eq!(decode_message(&message).expect("decodes"), record(known));
    }
}

/// The era of the store costs a message nothing until the store states one, and two bytes afterwards; a
/// kept version costs nothing while there is none.
#[test]
fn an_era_follows_the_level_and_the_evidence() {
    let bytes = |record: &MemberRecord| encode_message(record).expect("encodes").len();
    for without in [record(1), record_with_evidence(3, 4_321)] {
        for (era, kept_version, more) in [
            (0, 0, 0),
            (1, 0, 2),
            (127, 0, 2),
            (300, 0, 3),
            (1, 9, 3),
            (u64::MAX, u64::MAX, 21),
        ] {
            let mut own = MemberRecord {
                era,
                kept_version,
                ..without.clone()
            };
            for evidence in &mut own.rollouts {
                evidence.era = era;
            }
            let message = encode_message(&own).expect("encodes");
            assert_eq!(decode_message(&message).expect("decodes"), own);
            // A message with evidence has the list of extensions in any case.
            let more = if own.rollouts.is_empty() || era == 0 {
                more
            } else {
                more - 1
            };
            assert_eq!(bytes(&own), bytes(&without) + more, "{era}, {kept_version}");
        }
    }
}

/// Guards against nodes of two releases that do not read each other's messages: the earlier release
/// decodes a record or a table and ignores the bytes after it, and its messages end without a level.
#[test]
fn levels_are_ignored_by_the_release_before() {
    let own = MemberRecord {
        level: 200,
        ..record(1)
    };
    let message = encode_message(&own).expect("encodes");
    assert_eq!(decode_message(&message).expect("decodes"), own);
    let read_before: MemberRecord = postcard::from_bytes(&message[1..]).expect("decodes");
    assert_eq!(read_before, record(1));
    let mut sent_before = vec![message[0]];
    sent_before.extend(postcard::to_stdvec(&own).expect("encodes"));
    assert_eq!(decode_message(&sent_before).expect("decodes"), record(1));

    let message = encode_message(&MemberRecord {
        era: 7,
        ..own.clone()
    })
    .expect("encodes");
    let read_before: MemberRecord = postcard::from_bytes(&message[1..]).expect("decodes");
    assert_eq!(read_before, record(1));

    let table = |level| TableChanges {
        version: 3,
        is_complete: true,
        records: vec![
            record(0).summary(),
            MemberRecord { level, ..record(0) }.summary(),
        ],
        removed: Vec::new(),
    };
    let message = encode_table(&table(200)).expect("encodes");
    let levels = decode_table(&message).expect("decodes").records;
    assert_eq!([levels[0].level, levels[1].level], [0, 192]);
    let read_before: TableChanges = postcard::from_bytes(&message[1..]).expect("decodes");
    assert_eq!(read_before, table(0));
    let mut sent_before = vec![message[0]];
    sent_before.extend(postcard::to_stdvec(&table(200)).expect("encodes"));
    assert_eq!(decode_table(&sent_before).expect("decodes"), table(0));
}

fn record_with_evidence(refused: u64, revision: u64) -> MemberRecord {
    let answers = |sends, refused| AnswerCounts {
        sends,
        failed: 2,
        slow: 1,
        refused,
    };
    let counts = VersionCounts {
        old: answers(4_000, 0),
        new: answers(20, refused),
    };
    let evidence = RolloutEvidence {
        service: "quote-builder-7".into(),
        version: "2026.12.1".to_owned(),
        age_ms: 12_345,
        is_braked: false,
        revision,
        era: 0,
        routes: vec![("fetch".into(), counts), ("order".into(), counts)],
    };
    MemberRecord {
        level: 7,
        rollouts: vec![evidence.clone(), evidence],
        ..record(1)
    }
}

/// Guards against nodes of two releases that do not read each other's evidence on a rollout, and
/// against messages that are larger than the limits that were computed for them.
#[test]
fn evidence_is_read_with_and_without_its_extension() {
    let own = record_with_evidence(300, 4_329);
    let message = encode_message(&own).expect("encodes");
    assert_eq!(decode_message(&message).expect("decodes"), own);
    let read_before: MemberRecord = postcard::from_bytes(&message[1..]).expect("decodes");
    let without = MemberRecord {
        level: 0,
        era: 0,
        ..record_with_evidence(0, 0)
    };
    assert_eq!(read_before, without);
    let mut sent_before = vec![message[0]];
    sent_before.extend(postcard::to_stdvec(&own).expect("encodes"));
    sent_before.push(7);
    let read = decode_message(&sent_before).expect("decodes");
    assert_eq!(read, record_with_evidence(0, 0));
    assert!(decode_message(&message[..message.len() - 1]).is_err());
}

/// Guards against messages that cost too much: with 78 nodes, each node receives a few hundred
/// messages a second.
#[test]
fn a_message_is_small() {
    let lengths = [0, 1, 8].map(|known| encode_message(&record(known)).expect("encodes").len());
    assert!(lengths[1] <= 100, "{lengths:?}");
    assert!(lengths[2] <= 160, "{lengths:?}");
}

#[test]
fn invalid_messages_are_rejected_with_a_reason() {
    let mut message = encode_message(&record(1)).expect("encodes");
    let truncated = decode_message(&message[..30])
        .expect_err("truncated")
        .to_string();
    message[0] = b'{';
    let errors = [
        decode_message(&message)
            .expect_err("another format")
            .to_string(),
        decode_message(&[]).expect_err("empty").to_string(),
        truncated,
    ];
    insta::assert_snapshot!(errors.join("\n"), @r"
    the message is of format 123, but this node reads format 3
    the message is empty
    the message of 30 bytes cannot be decoded: Hit the end of buffer, expected more data
    ");
}

/// Changes some bytes of a message, or cuts it.
fn damaged(message: &[u8], random: &mut Pcg64) -> Vec<u8> {
    let mut bytes = message.to_vec();
    for _ in 0..random.random_range(1..5) {
        let at = random.random_range(1..bytes.len());
        match random.random_range(0..3) {
            0 => bytes[at] = random.random(),
            1 => bytes.insert(at, 0xff),
            _ => bytes.truncate(at + 1),
        }
    }
    bytes
}

/// A decoder that panics fails the test, as does one that reserves memory for a length that the
/// message names but does not have.
#[test]
fn damaged_messages_are_decoded_or_rejected() {
    let mut random = Pcg64::seed_from_u64(5);
    let message = encode_message(&record(8)).expect("encodes");
    let table = TableChanges {
        version: 3,
        is_complete: false,
        records: vec![record(0).summary(); 3],
        removed: vec!["n1".into()],
    };
    let table = encode_table(&table).expect("encodes");
    let mut rejected = [0; 2];
    for _ in 0..20_000 {
        let is_rejected = [
            decode_message(&damaged(&message, &mut random)).is_err(),
            decode_table(&damaged(&table, &mut random)).is_err(),
        ];
        for (count, is_rejected) in rejected.iter_mut().zip(is_rejected) {
            *count += usize::from(is_rejected);
        }
    }
    assert!(
        rejected.iter().all(|count| (1..20_000).contains(count)),
        "{rejected:?}"
    );
}
