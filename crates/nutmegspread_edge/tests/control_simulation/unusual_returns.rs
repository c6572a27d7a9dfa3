//! Returns of the store from an older copy that its answers do not announce as usual.

use crate::sim_checks::APPLY_TIME;
use crate::sim_network::SimPlace;
use crate::sim_node::SimNode;
use crate::sim_restore::{CALM_TIME, StoreRestore, lose_changes};
use crate::sim_settings::SimSettings;
use crate::sim_world::SimWorld;
use crate::simulate;
use nutmegspread_edge::FleetView;
use nutmegspread_platform_standin::{EraHeader, StoreFault};
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

fn restart(world: &Rc<SimWorld>, number: usize) {
    world.kill(number);
    world.spawn(number);
}

/// Guards against a list of the lost history that a starting node takes for a current one, and passes on
/// to all others.
#[test]
fn a_stale_list_of_the_lost_history_is_not_taken_for_a_current_one() {
    for number in [0, 6] {
        let (_, violations) = simulate(&SimSettings::default(), async |world| {
            let copy = lose_changes(world).await;
            // The revisions after the return stay below those of the list.
            for _ in 0..20 {
                world.renew_targets();
            }
            let lost = world.store.take_copy();
            let restore = StoreRestore {
                copy: Some(copy),
                ..Default::default()
            };
            let away = restore.away;
            world.kill(number);
            restore.begin(world);
            tokio::time::sleep(away + Duration::from_millis(400)).await;
            world.store.set_stale_copy(&lost);
            world.disturb(Some(number), Duration::ZERO);
            world.spawn(number);
            tokio::time::sleep(CALM_TIME).await;
            world.publish_configuration();
            world.toggle_evacuation(1);
            world.drain_target();
            tokio::time::sleep(APPLY_TIME * 2).await;
        });
        assert_eq!(violations.first(), None, "node {number} started");
    }
}

/// Guards against a document that cannot be decoded, and is kept as the one in force.
#[test]
fn a_valid_configuration_is_relayed_after_an_invalid_one_was_taken_back() {
    for era_header in [EraHeader::Counted, EraHeader::Missing] {
        let (world, _) = simulate(&SimSettings::default(), async |world| {
            world.store.set_era_header(era_header);
            let valid = world.document.borrow().clone();
            for document in [json!({ "version": "nonsense" }), valid] {
                world.store.configure(&document);
                tokio::time::sleep(APPLY_TIME).await;
            }
            for number in 0..world.nodes.len() {
                restart(world, number);
                tokio::time::sleep(APPLY_TIME).await;
            }
        });
        let versions = world.versions();
        assert!(versions.iter().all(|version| *version > 0), "{versions:?}");
    }
}

/// Guards against nodes that keep nothing against the older copy, because the era that the store states
/// after its return is the first one that they learn.
#[test]
fn what_is_known_is_kept_when_the_first_era_is_stated_with_a_return() {
    for (before, after) in [
        (EraHeader::Missing, "1"),
        (EraHeader::Odd("0".to_owned()), "1"),
    ] {
        let mut flaws = Vec::new();
        simulate(&SimSettings::default(), async |world| {
            world.store.set_era_header(before.clone());
            for number in 0..world.nodes.len() {
                restart(world, number);
            }
            tokio::time::sleep(CALM_TIME).await;
            let copy = world.store.take_copy();
            let oldest = world.targets.borrow().keys().next().cloned();
            let left = oldest.expect("a target");
            tokio::time::sleep(Duration::from_millis(500)).await;
            world.remove_target();
            world.toggle_evacuation(1);
            tokio::time::sleep(APPLY_TIME).await;
            let late = Some(Duration::from_millis(1500));
            let restore = StoreRestore {
                copy: Some(copy),
                operator_delay: late,
                target_delay: late,
                ..Default::default()
            };
            let away = restore.away;
            restore.begin(world);
            world.after(away, move |world| {
                world.store.set_era_header(EraHeader::Odd(after.to_owned()));
            });
            let end = Instant::now() + away + CALM_TIME;
            while Instant::now() < end {
                for node in &world.nodes {
                    let Some(control) = node.control() else {
                        continue;
                    };
                    let view: &FleetView = &control.shared.view.load();
                    let mut used = view.targets.values().flatten();
                    if used.any(|target| *target.id == *left) {
                        flaws.push(format!("{} uses {left}", node.name));
                    }
                    if !view.evacuated.contains("domain-1") {
                        flaws.push(format!("{} has no evacuation", node.name));
                    }
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        assert_eq!(flaws.first(), None, "{before:?}");
    }
}

/// Guards against a node that starts while all others know only of the later era, and that gets nothing
/// from them.
#[test]
fn a_node_that_starts_while_its_peers_wait_for_lists_serves_by_what_they_know() {
    let (world, _) = simulate(&SimSettings::default(), async |world| {
        let copy = lose_changes(world).await;
        let restore = StoreRestore {
            copy: Some(copy),
            ..Default::default()
        };
        world.kill(5);
        restore.begin(world);
        let is_heard = |world: &SimWorld| {
            let mut running = world.nodes.iter().filter_map(SimNode::control);
            running.any(|control| control.state.borrow().era() > 1)
        };
        while !is_heard(world) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        world.store.set_fault(StoreFault::Silent);
        world.lose_calls(SimPlace::Store);
        tokio::time::sleep(Duration::from_millis(700)).await;
        world.spawn(5);
        tokio::time::sleep(APPLY_TIME).await;
    });
    let versions = world.versions();
    assert!(
        versions.iter().all(|version| *version == versions[0]),
        "{versions:?}"
    );
}
