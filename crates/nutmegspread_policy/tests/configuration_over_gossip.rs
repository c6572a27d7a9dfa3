//! The control states of several nodes exchange heartbeats and all apply the highest revision.

use nutmegspread_model::{
    ConfigurationDocument, MonotonicTime, NodeRecord, ObjectMetadata, PlatformObject, Revision,
    RosterRecord, VmRecord,
};
use nutmegspread_policy::control::{
    ControlEffect, ControlInput, ControlSettings, ControlState, ObjectChange,
};
use nutmegspread_policy::fleet::FleetSettings;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
const NODES: usize = 3;

/// Control states in virtual time; messages and platform reads arrive at the next tick.
struct ControlNetwork {
    now: MonotonicTime,
    states: Vec<ControlState>,
    applied: Vec<Vec<Revision>>,
    stored: Option<Revision>,
    pending_inputs: Vec<(usize, ControlInput)>,
    stopped: Option<usize>,
    proposed: Vec<RosterRecord>,
}

fn object<T>(spec: T) -> PlatformObject<T> {
    let metadata = ObjectMetadata::default();
    PlatformObject {
        kind: String::new(),
        metadata,
        spec,
        status: serde_json::Value::Null,
    }
}

fn document(revision: Revision) -> ConfigurationDocument {
    ConfigurationDocument {
        revision,
        ..Default::default()
    }
}

/// Settings of a node; `start` is its incarnation.
fn settings(index: usize, start: u64) -> ControlSettings {
    let fleet = FleetSettings {
        node: format!("node-{index}").into(),
        domain: format!("domain-{index}").into(),
        peer_address: format!("{index}"),
        incarnation: start,
        ..Default::default()
    };
    ControlSettings { fleet }
}

impl ControlNetwork {
    fn new() -> Self {
        let states = (0..NODES).map(|index| ControlState::new(settings(index, 1), Duration::ZERO));
        let mut network = Self {
            now: Duration::ZERO,
            states: states.collect(),
            applied: vec![Vec::new(); NODES],
            stored: Some(5),
            pending_inputs: Vec::new(),
            stopped: None,
            proposed: Vec::new(),
        };
        for index in 0..NODES {
            network.start_node(index);
            network.list_configuration(index, 5);
        }
        network
    }

    /// Starts a node and sends it the platform's list of nodes and the roster.
    fn start_node(&mut self, index: usize) {
        let records: Vec<NodeRecord> = (0..NODES)
            .map(|index| settings(index, 1).record())
            .collect();
        let voters = records.iter().map(|record| NodeRecord {
            incarnation: 0,
            ..record.clone()
        });
        let roster = RosterRecord {
            version: 1,
            nodes: voters.collect(),
            previous: Vec::new(),
        };
        let listed = records.into_iter().map(object).collect();
        self.step(index, ControlInput::Start);
        self.step(index, ControlInput::Nodes(ObjectChange::Listed(listed)));
        self.step(
            index,
            ControlInput::Roster(ObjectChange::Listed(vec![object(roster)])),
        );
    }

    /// Sends a node a list of the configuration object, as if read from the platform.
    fn list_configuration(&mut self, index: usize, revision: Revision) {
        let listed = ObjectChange::Listed(vec![object(document(revision))]);
        self.step(index, ControlInput::Configuration(listed));
    }

    fn step(&mut self, index: usize, input: ControlInput) {
        if self.stopped == Some(index) {
            return;
        }
        let output = self.states[index].step(
            self.now,
            std::time::SystemTime::UNIX_EPOCH + self.now,
            input,
        );
        assert!(
            output.wake_at.is_some(),
            "a step must return a wake-up time, or the node stops sending heartbeats"
        );
        let revision = output.view.map_or(0, |view| view.revision);
        if revision > 0 && self.applied[index].last() != Some(&revision) {
            self.applied[index].push(revision);
        }
        for effect in output.effects {
            match effect {
                ControlEffect::Send { address, message } => {
                    let from = format!("node-{index}").into();
                    let to = address
                        .parse()
                        .expect("a peer address must be the index of a node");
                    self.pending_inputs
                        .push((to, ControlInput::Peer { from, message }));
                }
                ControlEffect::ReadConfiguration => {
                    let change = match self.stored {
                        Some(revision) => ObjectChange::Listed(vec![object(document(revision))]),
                        None => ObjectChange::Lost,
                    };
                    self.pending_inputs
                        .push((index, ControlInput::Configuration(change)));
                }
                ControlEffect::ProposeRoster(roster) => self.proposed.push(roster),
                _ => {}
            }
        }
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            for (to, input) in std::mem::take(&mut self.pending_inputs) {
                self.step(to, input);
            }
            (0..NODES).for_each(|index| self.step(index, ControlInput::Tick));
        }
    }

    fn restart(&mut self, index: usize) {
        self.applied[index].clear();
        self.states[index] = ControlState::new(settings(index, 2), self.now);
        self.start_node(index);
    }
}

#[test]
fn a_restarted_node_with_a_stale_read_applies_the_revision_of_its_peers() {
    let mut network = ControlNetwork::new();
    network.run_for(Duration::from_secs(5));
    assert_eq!(network.applied, vec![vec![5]; NODES]);
    network.stored = Some(3);
    network.restart(1);
    network.list_configuration(1, 3);
    network.run_for(Duration::from_secs(5));
    assert_eq!(network.applied[1], [5]);
}

#[test]
fn a_node_restarted_in_an_outage_applies_the_revision_of_its_peers() {
    let mut network = ControlNetwork::new();
    network.run_for(Duration::from_secs(5));
    network.stored = None;
    network.restart(2);
    network.step(2, ControlInput::Configuration(ObjectChange::Lost));
    network.run_for(Duration::from_secs(5));
    assert_eq!(network.applied[2], [5]);
}

#[test]
fn a_revision_accepted_by_one_node_reaches_all_without_the_platform() {
    let mut network = ControlNetwork::new();
    network.run_for(Duration::from_secs(5));
    network.stored = None;
    network.step(0, ControlInput::Applied(document(6)));
    network.run_for(Duration::from_secs(5));
    assert_eq!(network.applied, vec![vec![5, 6]; NODES]);
    assert!(network.states[0].status().lagging.is_empty());
}

/// A bookmark confirms the revision of the list before it, not that which the node applies.
#[test]
fn a_bookmark_after_a_stale_list_does_not_confirm() {
    let mut network = ControlNetwork::new();
    network.run_for(Duration::from_secs(5));
    network.stored = Some(3);
    network.run_for(Duration::from_secs(20));
    let age_before = network.states[0].status().confirmed_age_ms;
    network.list_configuration(0, 3);
    network.step(0, ControlInput::Configuration(ObjectChange::Confirmed));
    assert_eq!(network.states[0].status().confirmed_age_ms, age_before);
}

/// The record of a lost VM remains in the store, so the node must leave the roster because its
/// VM is missing from the platform's list.
#[test]
fn a_vm_missing_from_the_list_leaves_the_roster_though_its_record_stays() {
    let mut network = ControlNetwork::new();
    let vms = |names: &[usize]| {
        let listed_vms = names.iter().map(|index| {
            let mut vm = object(VmRecord::default());
            vm.metadata.name = format!("node-{index}");
            vm
        });
        ControlInput::Vms(ObjectChange::Listed(listed_vms.collect()))
    };
    network.step(0, vms(&[0, 1, 2]));
    network.run_for(Duration::from_secs(10));
    network.stopped = Some(2);
    network.step(0, vms(&[0, 1]));
    for _ in 0..29 {
        network.run_for(Duration::from_secs(1));
        network.step(0, ControlInput::Nodes(ObjectChange::Confirmed));
    }
    assert!(network.proposed.is_empty(), "{:?}", network.proposed);
    for _ in 0..20 {
        network.run_for(Duration::from_secs(1));
        network.step(0, ControlInput::Nodes(ObjectChange::Confirmed));
    }
    let nodes = network.proposed.last().map(|roster| roster.nodes.len());
    assert_eq!(nodes, Some(2));
}
