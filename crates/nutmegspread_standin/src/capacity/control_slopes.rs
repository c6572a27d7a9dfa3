//! Measures the cost of control: heartbeats, configuration, address answers and rollout evidence.

use super::call_timer::call_micros;
use super::gossip_simulation::GossipSimulation;
use super::wire_codec::encode;
use super::{CapacityError, SlopeSeries};
use nutmegspread_model::{
    ConfigurationDocument, DomainSettings, MonotonicTime, ServiceSettings, TargetSettings,
    diff_documents, validate_document,
};
use nutmegspread_policy::configuration::{
    ConfigurationInput, ConfigurationPolicy, ConfigurationSettings,
};
use nutmegspread_policy::fleet::{FleetSettings, FleetView, NodeView, choose_addresses};
use nutmegspread_policy::rollout::{CountPair, EvidenceKey, NodeEvidence, OutcomeCount};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

/// Numbers of nodes in the measured cells.
const CELL_SIZES: [usize; 5] = [3, 5, 7, 12, 20];
/// Numbers of targets in the measured configuration documents.
const TARGET_COUNTS: [usize; 4] = [111, 500, 1500, 3500];
/// Numbers of nodes from which the addresses of an answer are chosen.
const NODE_COUNTS: [usize; 4] = [7, 50, 200, 760];
/// Numbers of pairs of a route and a failure domain that have evidence of one rollout step.
const EVIDENCE_COUNTS: [u32; 4] = [1, 5, 10, 20];
/// Number of latency buckets in each outcome count.
const USED_BUCKETS: usize = 40;

/// Measures the bytes and the time that each part of control needs.
///
/// # Errors
/// When a message cannot be encoded.
pub fn control_slopes() -> Result<Vec<SlopeSeries>, CapacityError> {
    let mut series = gossip_slopes()?;
    series.extend(configuration_slopes()?);
    series.push(address_slope());
    series.push(evidence_slope()?);
    Ok(series)
}

fn gossip_slopes() -> Result<Vec<SlopeSeries>, CapacityError> {
    let mut bytes = Vec::new();
    let mut messages = Vec::new();
    let mut time = Vec::new();
    for size in CELL_SIZES {
        let cost = GossipSimulation::new(size).measure()?;
        let pairs = (size * (size - 1)) as f64;
        bytes.push((pairs, cost.bytes_per_second));
        messages.push(((size - 1) as f64, cost.messages_per_second));
        time.push((pairs, cost.micros_per_second));
    }
    let size = "nodes in a cell × others";
    Ok(vec![
        SlopeSeries {
            name: "gossip-bytes",
            size,
            cost: "bytes sent a node-second",
            points: bytes,
        },
        SlopeSeries {
            name: "gossip-time",
            size,
            cost: "µs a node-second",
            points: time,
        },
    ])
}

fn configuration_slopes() -> Result<Vec<SlopeSeries>, CapacityError> {
    let mut bytes = Vec::new();
    let mut change_bytes = Vec::new();
    let mut check_time = Vec::new();
    let mut apply_time = Vec::new();
    for count in TARGET_COUNTS {
        let document = sample_document(count, 1);
        let next = document_with_drained_domain(&document);
        let text = serde_json::to_vec(&document).map_err(|error| CapacityError::Encoding {
            message: "configuration document",
            source: error.into(),
        })?;
        let changes = serde_json::to_vec(&diff_documents(&document, &next));
        let changes = changes.map_err(|error| CapacityError::Encoding {
            message: "configuration changes",
            source: error.into(),
        })?;
        let size = count as f64;
        bytes.push((size, text.len() as f64));
        change_bytes.push((size, changes.len() as f64));
        check_time.push((size, call_micros(|| read_and_check(&text))));
        apply_time.push((size, call_micros(|| apply_change(&document, &next))));
    }
    let size = "targets";
    Ok(vec![
        SlopeSeries {
            name: "document-bytes",
            size,
            cost: "bytes of JSON",
            points: bytes,
        },
        SlopeSeries {
            name: "change-bytes",
            size,
            cost: "bytes of one change",
            points: change_bytes,
        },
        SlopeSeries {
            name: "document-check-time",
            size,
            cost: "µs to read and check",
            points: check_time,
        },
        SlopeSeries {
            name: "document-apply-time",
            size,
            cost: "µs to apply two documents",
            points: apply_time,
        },
    ])
}

fn read_and_check(text: &[u8]) -> usize {
    let document: ConfigurationDocument = serde_json::from_slice(text).unwrap_or_default();
    validate_document(&document).len()
}

fn apply_change(first: &Arc<ConfigurationDocument>, next: &Arc<ConfigurationDocument>) -> u64 {
    let settings = ConfigurationSettings {
        node: "node-1".into(),
        domain: "domain-1".into(),
        ..Default::default()
    };
    let mut policy = ConfigurationPolicy::new(settings, MonotonicTime::ZERO);
    for document in [first, next] {
        let as_of = MonotonicTime::from_secs(document.revision);
        let document = Arc::clone(document);
        policy.step(
            as_of,
            ConfigurationInput::PlatformDocument { document, as_of },
        );
    }
    policy.revision()
}

/// Builds a configuration document with the given number of targets.
pub fn sample_document(targets: usize, revision: u64) -> Arc<ConfigurationDocument> {
    let domain = |number: usize| (format!("domain-{number}").into(), DomainSettings::default());
    let target = |number: usize| {
        let settings = TargetSettings {
            service: "counter-desk".into(),
            domain: format!("domain-{}", number % 5).into(),
            version: "1".into(),
            address: format!("10.0.{}.{}:9000", number / 250, number % 250 + 1),
            ..Default::default()
        };
        (format!("counter-desk-{number:04}").into(), settings)
    };
    Arc::new(ConfigurationDocument {
        revision,
        domains: (0..5).map(domain).collect(),
        services: [("counter-desk".into(), ServiceSettings::default())].into(),
        targets: (0..targets).map(target).collect(),
        ..Default::default()
    })
}

fn document_with_drained_domain(document: &ConfigurationDocument) -> Arc<ConfigurationDocument> {
    let mut next = document.clone();
    next.revision += 1;
    if let Some(domain) = next.domains.get_mut("domain-1") {
        domain.state = nutmegspread_model::ServingState::Drained;
    }
    Arc::new(next)
}

fn address_slope() -> SlopeSeries {
    let mut points = Vec::new();
    for count in NODE_COUNTS {
        let view = sample_fleet_view(count);
        let settings = FleetSettings::default();
        let mut random = Pcg64Mcg::seed_from_u64(1);
        let time =
            call_micros(|| choose_addresses(&settings, &view, Some("domain-1"), &mut random));
        points.push((count as f64, time));
    }
    let cost = "µs an answer";
    SlopeSeries {
        name: "address-answer-time",
        size: "nodes heard",
        cost,
        points,
    }
}

fn sample_fleet_view(count: usize) -> FleetView {
    let node = |number: usize| NodeView {
        node: format!("node-{number:03}").into(),
        domain: format!("domain-{}", number % 5).into(),
        caller_address: format!("10.1.{}.{}:8000", number / 250, number % 250 + 1),
        member: true,
        ..Default::default()
    };
    FleetView {
        nodes: (0..count).map(node).collect(),
        ..Default::default()
    }
}

fn evidence_slope() -> Result<SlopeSeries, CapacityError> {
    let mut points = Vec::new();
    for count in EVIDENCE_COUNTS {
        let outcome = OutcomeCount {
            queries: 10_000,
            errors: 10,
            sheds: 5,
            latencies: vec![250; USED_BUCKETS],
        };
        let pair = CountPair {
            old: outcome.clone(),
            new: outcome,
        };
        let key = |number: u32| EvidenceKey {
            step: 1,
            route: format!("route-{number}").into(),
            domain: "domain-1".into(),
        };
        let evidence = NodeEvidence {
            rollout: "counter-desk-2026-11".into(),
            node: "node-421".into(),
            incarnation: 1_764_840_000,
            counts: (0..count)
                .map(|number| (key(number), pair.clone()))
                .collect(),
        };
        let bytes = encode("rollout evidence", &evidence)?.len();
        points.push((f64::from(count), bytes as f64));
    }
    let (size, cost) = ("routes with evidence", "bytes a node's evidence");
    Ok(SlopeSeries {
        name: "evidence-bytes",
        size,
        cost,
        points,
    })
}
