//! Messages on rollouts keep their content and stay small.

use nutmegspread_model::{RolloutRecord, RolloutState};
use nutmegspread_policy::control::PeerMessage;
use nutmegspread_policy::rollout::{
    BrakeReason, BrakeSet, CountPair, EvidenceKey, ExcessMeasure, KnownRecord, NodeEvidence,
    OutcomeCount, QueryObservation, RolloutGossip,
};
use nutmegspread_wire::peer::{decode_message, encode_message};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Bytes of a message during a move with two routes.
const MESSAGE_BUDGET: usize = 1_000;

fn time() -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(1_796_000_000_123)
}

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

fn known(state: RolloutState) -> KnownRecord {
    KnownRecord {
        record: RolloutRecord {
            rollout: "catalog-2026-12".into(),
            state,
            step: 2,
            recorded_at: time(),
            finish_by: time() + Duration::from_secs(3_600),
            samples: 12_345,
            coordinator: "node-3".into(),
            lease_until: time() + Duration::from_secs(10),
        },
        version: 991,
        token: Some("node-3-1796000000000-catalog-2026-12-4".into()),
        confirmed: time(),
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
        records: vec![known(state)],
    }
}

#[test]
fn a_message_in_every_state_comes_back_whole() {
    let confirmed_at = time();
    let reason = "not finished in time".to_owned();
    for state in [
        RolloutState::Running,
        RolloutState::Finished,
        RolloutState::Done { confirmed_at },
        RolloutState::TakenBack { reason },
    ] {
        let message = PeerMessage::Rollouts(Box::new(gossip(state)));
        let body = encode_message(&message).unwrap();
        let returned: PeerMessage = decode_message(&body).unwrap();
        assert_eq!(returned, message);
    }
}

#[test]
fn a_message_of_a_running_move_is_small() {
    let message = PeerMessage::Rollouts(Box::new(gossip(RolloutState::Running)));
    let bytes = encode_message(&message).unwrap().len();
    println!("{bytes} bytes a message");
    assert!(bytes <= MESSAGE_BUDGET, "{bytes} bytes");
}

#[test]
fn a_record_in_every_state_is_stored_and_read_as_json() {
    let confirmed_at = time();
    let done = known(RolloutState::Done { confirmed_at }).record;
    let text = serde_json::to_string(&done).unwrap();
    let returned: RolloutRecord = serde_json::from_str(&text).unwrap();
    assert_eq!(returned, done);
}
