//! Encoding of messages and records of rollouts: the decoded content is unchanged and the size is
//! limited.

use nutmegspread_model::{RolloutRecord, RolloutState};
use nutmegspread_policy::control::PeerMessage;
use nutmegspread_policy::rollout::{
    BrakeReason, BrakeSet, CountPair, EvidenceKey, ExcessMeasure, KnownRecord, NodeEvidence,
    OutcomeCount, QueryObservation, RolloutGossip,
};
use nutmegspread_wire::peer::{decode_message, encode_message};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Largest size, in bytes, of a message during a rollout of a service with two routes.
const MESSAGE_BYTES_LIMIT: usize = 1_000;

/// Time of all records in the messages.
fn record_time() -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(1_796_000_000_123)
}

/// Counts of queries of which 1 in 100 failed and 1 in 200 was shed.
fn counts(queries: u32) -> OutcomeCount {
    let mut count = OutcomeCount::default();
    for query in 0..queries {
        count.record(&QueryObservation {
            version: "2026-12".into(),
            route: "search".into(),
            domain: "north".into(),
            failed: query % 100 == 0,
            shed: query % 200 == 0,
            latency: Duration::from_millis(u64::from(5 + query % 60)),
        });
    }
    count
}

fn known_record(state: RolloutState) -> KnownRecord {
    KnownRecord {
        record: RolloutRecord {
            rollout: "catalog-2026-12".into(),
            state,
            step: 2,
            recorded_at: record_time(),
            finish_by: record_time() + Duration::from_secs(3_600),
            samples: 12_345,
            coordinator: "node-3".into(),
            lease_until: record_time() + Duration::from_secs(10),
        },
        version: 991,
        token: Some("node-3-1796000000000-catalog-2026-12-4".into()),
        confirmed: record_time(),
    }
}

fn gossip(state: RolloutState) -> RolloutGossip {
    let pair = CountPair {
        old: counts(20_000),
        new: counts(5_000),
    };
    let key = |route: &str| EvidenceKey {
        step: 2,
        route: route.into(),
        domain: "north".into(),
    };
    let evidence = NodeEvidence {
        rollout: "catalog-2026-12".into(),
        node: "node-3".into(),
        incarnation: 1_796_000_000_000,
        counts: vec![(key("search"), pair.clone()), (key("lookup"), pair)],
    };
    let mut brakes = BrakeSet::default();
    let reason = BrakeReason {
        node: "node-3".into(),
        route: "search".into(),
        domain: Some("north".into()),
        measure: ExcessMeasure::TailLatency,
    };
    brakes.insert(&"catalog-2026-11".into(), &reason);
    RolloutGossip {
        evidence: vec![evidence],
        brakes,
        records: vec![known_record(state)],
    }
}

#[test]
fn messages_with_a_record_in_any_state_are_decoded_unchanged() {
    let confirmed_at = record_time();
    let reason = "not finished in time".to_owned();
    for state in [
        RolloutState::Running,
        RolloutState::Finished,
        RolloutState::Done { confirmed_at },
        RolloutState::TakenBack { reason },
    ] {
        let message = PeerMessage::Rollouts(Box::new(gossip(state)));
        let body = encode_message(&message).unwrap();
        let decoded: PeerMessage = decode_message(&body).unwrap();
        assert_eq!(decoded, message);
    }
}

#[test]
fn a_message_during_a_rollout_stays_within_its_budget() {
    let message = PeerMessage::Rollouts(Box::new(gossip(RolloutState::Running)));
    let bytes = encode_message(&message).unwrap().len();
    println!("{bytes} bytes per message");
    assert!(bytes <= MESSAGE_BYTES_LIMIT, "{bytes} bytes");
}

#[test]
fn a_done_record_is_decoded_unchanged_from_json() {
    let confirmed_at = record_time();
    let done = known_record(RolloutState::Done { confirmed_at }).record;
    let text = serde_json::to_string(&done).unwrap();
    let decoded: RolloutRecord = serde_json::from_str(&text).unwrap();
    assert_eq!(decoded, done);
}
