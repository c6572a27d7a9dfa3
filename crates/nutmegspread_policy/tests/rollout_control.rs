//! The control state applies rollout records and brakes to the version shares that routing uses.

use nutmegspread_model::{
    ConfigurationDocument, DomainSettings, PlatformObject, RolloutRecord, RolloutSettings,
    RolloutState, RolloutStep, RosterRecord, ServiceSettings, SnapshotMap, VersionName,
};
use nutmegspread_policy::control::{
    ControlEffect, ControlInput, ControlOutput, ControlSettings, ControlState, ObjectChange,
    PeerMessage,
};
use nutmegspread_policy::fleet::FleetSettings;
use nutmegspread_policy::rollout::{
    BrakeReason, BrakeSet, ExcessMeasure, KnownRecord, RolloutAction, RolloutGossip, RolloutInput,
};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const START: Duration = Duration::from_secs(1_000_000);

struct TestNode {
    state: ControlState,
    now: Duration,
}

impl TestNode {
    fn new(maps: &[&str]) -> Self {
        let fleet = FleetSettings {
            node: "node-1".into(),
            incarnation: 1,
            ..FleetSettings::default()
        };
        let settings = ControlSettings { fleet };
        let own = settings.record();
        let roster = RosterRecord {
            version: 1,
            nodes: vec![own.clone()],
            previous: Vec::new(),
        };
        let state = ControlState::new(settings, Duration::ZERO);
        let mut node = Self {
            state,
            now: Duration::ZERO,
        };
        node.step(ControlInput::Start);
        node.step(ControlInput::Nodes(ObjectChange::Listed(vec![object(own)])));
        node.step(ControlInput::Roster(ObjectChange::Listed(vec![object(
            roster,
        )])));
        node.step(ControlInput::Configuration(ObjectChange::Listed(vec![
            object(document()),
        ])));
        let maps = maps.iter().map(|version| object(map(version))).collect();
        node.step(ControlInput::Maps(ObjectChange::Listed(maps)));
        node
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + START + self.now
    }

    fn step(&mut self, input: ControlInput) -> ControlOutput {
        self.now += Duration::from_secs(1);
        self.state.step(self.now, self.wall(), input)
    }

    /// Applies an input and returns the versions of the service with their shares on one route.
    fn shares(&mut self, input: ControlInput) -> Vec<(VersionName, f64)> {
        let view = self.step(input).view.unwrap();
        let versions = view.services["catalog"].versions.iter();
        versions
            .map(|(name, version)| (name.clone(), version.share_on(Some("search"))))
            .collect()
    }

    /// An input with a running rollout's record at the given step, as read from the platform.
    fn record_read(&self, step: u32) -> ControlInput {
        let record = RolloutRecord {
            rollout: "move".into(),
            state: RolloutState::Running,
            step,
            recorded_at: self.wall(),
            finish_by: document().rollouts["move"].finish_by,
            samples: 0,
            coordinator: "node-2".into(),
            lease_until: self.wall(),
        };
        let known = KnownRecord {
            record,
            version: 4,
            token: None,
            confirmed: self.wall(),
        };
        ControlInput::Rollout {
            rollout: "move".into(),
            input: RolloutInput::RecordRead(known),
        }
    }
}

fn object<T>(spec: T) -> PlatformObject<T> {
    PlatformObject {
        kind: String::new(),
        metadata: Default::default(),
        spec,
        status: Default::default(),
    }
}

fn map(version: &str) -> SnapshotMap {
    SnapshotMap {
        service: "catalog".into(),
        version: version.into(),
        snapshot: 1,
        shards: Vec::new(),
    }
}

fn document() -> ConfigurationDocument {
    let step = |share| RolloutStep {
        share,
        ..RolloutStep::default()
    };
    let rollout = RolloutSettings {
        service: "catalog".into(),
        from: "old".into(),
        to: "new".into(),
        start: UNIX_EPOCH + START,
        finish_by: UNIX_EPOCH + START + Duration::from_secs(3_600),
        steps: [0.005, 0.25, 1.0].map(step).to_vec(),
        ..RolloutSettings::default()
    };
    let service = ServiceSettings {
        version: "old".into(),
        ..ServiceSettings::default()
    };
    ConfigurationDocument {
        revision: 3,
        domains: [("north".into(), DomainSettings::default())].into(),
        services: [("catalog".into(), service)].into(),
        rollouts: [("move".into(), rollout)].into(),
        ..ConfigurationDocument::default()
    }
}

fn peer_brake() -> ControlInput {
    let mut brakes = BrakeSet::default();
    let reason = BrakeReason {
        node: "node-2".into(),
        route: "search".into(),
        domain: None,
        measure: ExcessMeasure::Errors,
    };
    brakes.insert(&"move".into(), &reason);
    let gossip = RolloutGossip {
        brakes,
        ..RolloutGossip::default()
    };
    ControlInput::Peer {
        from: "node-2".into(),
        message: PeerMessage::Rollouts(Box::new(gossip)),
    }
}

#[test]
fn routing_gets_the_recorded_share_until_a_brake() {
    let mut node = TestNode::new(&["old", "new"]);
    let input = node.record_read(1);
    assert_eq!(
        node.shares(input),
        [("old".into(), 0.75), ("new".into(), 0.25)]
    );
    assert_eq!(node.shares(peer_brake()), [("old".into(), 1.0)]);
    assert_eq!(node.shares(ControlInput::Tick), [("old".into(), 1.0)]);
    let input = node.record_read(1);
    assert_eq!(node.shares(input), [("old".into(), 1.0)]);
}

#[test]
fn a_version_without_a_snapshot_gets_no_share() {
    let mut node = TestNode::new(&["old"]);
    let input = node.record_read(1);
    assert_eq!(node.shares(input), [("old".into(), 1.0)]);
}

#[test]
fn a_tick_reads_the_record() {
    let mut node = TestNode::new(&["old", "new"]);
    let output = node.step(ControlInput::Tick);
    let effect = ControlEffect::Rollout {
        rollout: "move".into(),
        action: RolloutAction::Read,
    };
    assert!(output.effects.contains(&effect), "{:?}", output.effects);
    assert!(output.wake_at.is_some());
}

#[test]
fn the_status_contains_the_rollout() {
    let mut node = TestNode::new(&["old", "new"]);
    let input = node.record_read(1);
    node.step(input);
    let rollouts = node.state.status().rollouts;
    assert_eq!(rollouts.len(), 1);
    assert_eq!(rollouts[0].share, 0.25);
}
