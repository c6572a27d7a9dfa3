//! Messages between nodes as bytes.

use nutmegspread_edge::{decode_message, encode_message};
use nutmegspread_tier::MemberRecord;
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
        known: (0..known)
            .map(|number| SocketAddr::from(([10, 2, 0, number as u8], 7380)))
            .collect(),
        rollouts: Vec::new(),
    }
}

#[test]
fn a_message_comes_back_as_it_was() {
    for known in [0, 1, 8] {
        let message = encode_message(&record(known)).expect("a record encodes");
        assert_eq!(decode_message(&message).expect("the same"), record(known));
    }
}

/// Each of 78 nodes gets some hundred messages a second.
#[test]
fn a_message_is_small() {
    let lengths = [0, 1, 8].map(|known| encode_message(&record(known)).expect("encodes").len());
    assert!(lengths[1] <= 100, "{lengths:?}");
    assert!(lengths[2] <= 160, "{lengths:?}");
}

#[test]
fn other_bytes_are_refused_with_a_reason() {
    let mut message = encode_message(&record(1)).expect("encodes");
    let cut_off = decode_message(&message[..30])
        .expect_err("cut off")
        .to_string();
    message[0] = b'{';
    let refusals = [
        decode_message(&message)
            .expect_err("another format")
            .to_string(),
        decode_message(&[]).expect_err("nothing").to_string(),
        cut_off,
    ];
    insta::assert_snapshot!(refusals.join("\n"), @r"
    the message is of format 123, but this node reads format 1
    the message is empty
    the message of 30 bytes cannot be decoded: Hit the end of buffer, expected more data
    ");
}
