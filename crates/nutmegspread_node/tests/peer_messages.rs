//! Encoding of control messages between nodes: the decoded content is unchanged and the size is
//! limited.

use nutmegspread_model::{
    ConfigurationDocument, DomainSettings, NodeRecord, RosterRecord, TargetLimits, TargetSettings,
};
use nutmegspread_policy::configuration::DocumentReply;
use nutmegspread_policy::control::PeerMessage;
use nutmegspread_policy::fleet::{FleetSettings, GossipMessage, NodeReport, SeenNode};
use nutmegspread_policy::target::WarmthMark;
use nutmegspread_wire::peer::{decode_message, encode_message};
use std::sync::Arc;

/// Largest number of bytes of heartbeats that a node may send per second.
const BYTES_PER_SECOND_LIMIT: f64 = 3000.0;
/// Incarnation in all messages; large, like a real one in milliseconds since the Unix epoch.
const INCARNATION: u64 = 1_796_000_000_000;

/// A heartbeat that reports on `others` other nodes.
fn heartbeat(others: usize) -> GossipMessage {
    let seen = (0..others).map(|index| SeenNode {
        node: format!("node-{index}").into(),
        incarnation: INCARNATION,
        sequence: 70_000,
        direct: true,
        member: index % 2 == 0,
    });
    let report = NodeReport {
        node: "node-7".into(),
        incarnation: INCARNATION,
        sequence: 70_000,
        view: u64::MAX / 3,
        view_epoch: 12,
        quorate: true,
        roster_version: 4,
        revision: 2400,
        confirmed_age_ms: Some(900),
        seen: seen.collect(),
        ..Default::default()
    };
    let (address, cell) = ("10.0.0.7:7400".to_owned(), "main".to_owned());
    GossipMessage {
        address,
        cell,
        report,
        ..Default::default()
    }
}

/// Encodes and decodes a message.
fn round_trip(message: &PeerMessage) -> PeerMessage {
    decode_message(&encode_message(message).unwrap()).unwrap()
}

#[test]
fn a_heartbeat_with_a_roster_and_relayed_reports_is_decoded_unchanged() {
    let node = NodeRecord {
        node: "node-1".into(),
        ..Default::default()
    };
    let roster = RosterRecord {
        version: 4,
        nodes: vec![node],
        previous: vec!["old".into()],
    };
    let message = GossipMessage {
        roster: Some(roster),
        relayed: vec![heartbeat(3).report],
        ..heartbeat(6)
    };
    let message = PeerMessage::Heartbeat(Box::new(message));
    assert_eq!(round_trip(&message), message);
}

#[test]
fn other_control_messages_are_decoded_unchanged() {
    let mut document = ConfigurationDocument {
        revision: 3,
        ..Default::default()
    };
    document
        .domains
        .insert("a".into(), DomainSettings::default());
    let limits = Some(TargetLimits::default());
    document
        .targets
        .insert("t1".into(), TargetSettings::default());
    document.targets.insert(
        "t2".into(),
        TargetSettings {
            limits,
            ..Default::default()
        },
    );
    let mark = WarmthMark {
        warm: true,
        cold_count: 2,
        ..Default::default()
    };
    for message in [
        PeerMessage::Configuration(DocumentReply::Whole(Arc::new(document))),
        PeerMessage::WantConfiguration {
            have: 3,
            reply_to: "127.0.0.1:1".into(),
        },
        PeerMessage::Warmth {
            marks: vec![("t1".into(), mark)],
        },
    ] {
        assert_eq!(round_trip(&message), message);
    }
}

/// Size in bytes of a heartbeat that reports on `others` other nodes.
fn encoded_size(others: usize) -> usize {
    let message = PeerMessage::Heartbeat(Box::new(heartbeat(others)));
    encode_message(&message).unwrap().len()
}

#[test]
fn heartbeats_of_a_cell_of_eight_stay_within_the_budget() {
    let settings = FleetSettings::default();
    let in_cell = encoded_size(7) * 7;
    let outside = encoded_size(1) * settings.outside_neighbors;
    let bytes_per_second = (in_cell + outside) as f64 / settings.heartbeat_interval.as_secs_f64();
    println!(
        "{} bytes per heartbeat in the cell, {} outside, {bytes_per_second} bytes per second",
        encoded_size(7),
        encoded_size(1)
    );
    assert!(
        bytes_per_second <= BYTES_PER_SECOND_LIMIT,
        "{bytes_per_second} bytes per second"
    );
}

#[test]
fn invalid_and_truncated_messages_are_refused() {
    let message = PeerMessage::Heartbeat(Box::new(heartbeat(6)));
    let body = encode_message(&message).unwrap();
    for length in 0..body.len() {
        assert!(decode_message::<PeerMessage>(&body[..length]).is_err());
    }
    assert!(decode_message::<PeerMessage>(&[255; 64]).is_err());
}
