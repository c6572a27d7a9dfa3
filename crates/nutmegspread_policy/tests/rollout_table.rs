//! The rollouts of a node when the configuration adds, keeps or removes them.

mod rollout_bench;

use indexmap::IndexMap;
use nutmegspread_model::{
    RolloutId, RolloutRecord, RolloutSettings, RolloutState, ServiceSettings,
};
use nutmegspread_policy::rollout::{
    BrakeReason, BrakeSet, ExcessMeasure, KnownRecord, RolloutGossip, RolloutInput, RolloutLimits,
    RolloutTable, StatementState,
};
use rollout_bench::example_rollout;
use std::time::{Duration, SystemTime};

const NOW: Duration = Duration::from_secs(1);

fn wall() -> SystemTime {
    example_rollout().start + NOW
}

fn rollouts(ids: &[&str]) -> IndexMap<RolloutId, RolloutSettings> {
    let settings = |id: &&str| (RolloutId::from(*id), example_rollout());
    ids.iter().map(settings).collect()
}

fn new_table(ids: &[&str]) -> RolloutTable {
    let mut table = RolloutTable::new("node-1".into(), 1, RolloutLimits::default());
    table.configure(NOW, wall(), &rollouts(ids));
    table
}

fn known_record(id: &str, state: RolloutState) -> KnownRecord {
    KnownRecord {
        record: RolloutRecord {
            rollout: id.into(),
            state,
            step: 2,
            recorded_at: wall(),
            finish_by: example_rollout().finish_by,
            samples: 0,
            coordinator: "node-2".into(),
            lease_until: wall(),
        },
        version: 3,
        token: None,
        confirmed: wall(),
    }
}

fn brake_gossip(id: &str) -> RolloutGossip {
    let reason = BrakeReason {
        node: "node-2".into(),
        route: "search".into(),
        domain: None,
        measure: ExcessMeasure::Errors,
    };
    let mut brakes = BrakeSet::default();
    brakes.insert(&id.into(), &reason);
    RolloutGossip {
        brakes,
        ..RolloutGossip::default()
    }
}

fn share_of(table: &RolloutTable) -> f64 {
    let settings = ServiceSettings::default();
    let version_split = table.version_split(&"catalog".into(), &settings, wall());
    version_split.map_or(0.0, |version_split| version_split.share)
}

fn read_record(table: &mut RolloutTable, id: &str, state: RolloutState) {
    let read = RolloutInput::RecordRead(known_record(id, state));
    table.step(NOW, wall(), &id.into(), read);
}

#[test]
fn a_removed_rollout_returns_all_traffic_to_the_old_version() {
    let mut table = new_table(&["move"]);
    read_record(&mut table, "move", RolloutState::Running);
    assert!(share_of(&table) > 0.0);
    table.configure(NOW, wall(), &rollouts(&[]));
    assert_eq!(share_of(&table), 0.0);
}

#[test]
fn a_brake_outlives_the_removal_of_its_rollout() {
    let mut table = new_table(&["move"]);
    table.receive(NOW, wall(), brake_gossip("move"));
    table.configure(NOW, wall(), &rollouts(&[]));
    table.configure(NOW, wall(), &rollouts(&["move"]));
    read_record(&mut table, "move", RolloutState::Running);
    assert_eq!(share_of(&table), 0.0);
}

#[test]
fn a_brake_received_before_the_configuration_applies() {
    let mut table = new_table(&[]);
    table.receive(NOW, wall(), brake_gossip("move"));
    table.configure(NOW, wall(), &rollouts(&["move"]));
    read_record(&mut table, "move", RolloutState::Running);
    assert_eq!(share_of(&table), 0.0);
    assert_eq!(table.gossip().brakes.reasons.len(), 1);
}

#[test]
fn a_brake_on_a_done_rollout_has_its_own_state() {
    let mut table = new_table(&["move"]);
    table.receive(NOW, wall(), brake_gossip("move"));
    let confirmed_at = wall();
    read_record(&mut table, "move", RolloutState::Done { confirmed_at });
    let statements = table.statements(wall());
    assert_eq!(statements[0].state, StatementState::DoneButStopped);
    assert_eq!(statements[0].share, 0.0);
}

#[test]
fn settings_do_not_change_once_a_record_is_known() {
    let mut table = new_table(&["move"]);
    read_record(&mut table, "move", RolloutState::Running);
    let share = share_of(&table);
    let mut changed = rollouts(&["move"]);
    changed["move"].steps.remove(1);
    table.configure(NOW, wall(), &changed);
    assert_eq!(share_of(&table), share);
}

#[test]
fn a_done_rollout_stays_in_force_after_the_limit() {
    let mut table = new_table(&["move"]);
    let confirmed_at = wall();
    read_record(&mut table, "move", RolloutState::Done { confirmed_at });
    let later = example_rollout().finish_by + Duration::from_secs(3_600);
    let settings = ServiceSettings::default();
    let version_split = table.version_split(&"catalog".into(), &settings, later);
    assert_eq!(version_split.unwrap().share, 1.0);
    assert_eq!(table.wake_at(), None);
}
