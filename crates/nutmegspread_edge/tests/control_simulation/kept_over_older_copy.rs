//! What nodes know and a store that comes back from an older copy does not.

use crate::sim_checks::APPLY_TIME;
use crate::sim_network::StoreFailure;
use crate::sim_restore::{CALM_TIME, HEARTBEAT_INTERVAL, StoreRestore, lose_changes};
use crate::sim_settings::SimSettings;
use crate::sim_world::SimWorld;
use crate::simulate;
use indexmap::IndexSet;
use nutmegspread_edge::FleetView;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const DOMAIN: &str = "domain-1";

/// Whether a node may send requests to a target.
fn is_usable(view: &FleetView, id: &str) -> bool {
    let mut usable = view.targets.values().flatten();
    usable.any(|target| *target.id == *id)
}

fn is_evacuated(view: &FleetView) -> bool {
    view.evacuated.contains(DOMAIN)
}

/// Returns the names of the nodes whose view has `flaw` at some time within `time`, each with the time
/// after `since` at which it was first seen.
async fn flawed_nodes(
    world: &SimWorld,
    since: Instant,
    time: Duration,
    flaw: impl Fn(&FleetView) -> bool,
) -> Vec<String> {
    let (end, mut flawed, mut lines) = (Instant::now() + time, IndexSet::new(), Vec::new());
    while Instant::now() < end {
        for node in &world.nodes {
            let control = node.control().filter(|_| !node.is_frozen.get());
            if control.is_some_and(|control| flaw(&control.shared.view.load()))
                && flawed.insert(&node.name)
            {
                lines.push(format!("{} after {:?}", node.name, since.elapsed()));
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    lines
}

/// Guards against a configuration that goes back with the copy, and against a version that is ignored
/// when it is written again, or after that.
#[test]
fn a_version_in_force_is_kept_while_an_older_copy_is_read() {
    for operator_delay in [Duration::ZERO, Duration::from_millis(1500), CALM_TIME] {
        let (mut older, mut versions) = (Vec::new(), Vec::new());
        let (_, violations) = simulate(&SimSettings::default(), async |world| {
            let copy = lose_changes(world).await;
            tokio::time::sleep(APPLY_TIME).await;
            let in_force = world.versions()[0];
            let is_older = |view: &FleetView| {
                let table = view.table.as_ref();
                table.is_none_or(|table| table.version < in_force)
            };
            let restore = StoreRestore {
                copy: Some(copy),
                operator_delay: Some(operator_delay),
                ..Default::default()
            };
            let away = restore.away;
            restore.begin(world);
            let returned = Instant::now() + away;
            let time = away + operator_delay + CALM_TIME;
            older = flawed_nodes(world, returned, time, is_older).await;
            world.publish_configuration();
            tokio::time::sleep(APPLY_TIME * 2).await;
            versions = world.versions();
        });
        assert_eq!(older, Vec::<String>::new(), "{operator_delay:?}");
        assert_eq!(violations.first(), None, "{operator_delay:?}");
        assert!(
            versions.iter().all(|version| *version == versions[0]),
            "{versions:?}"
        );
    }
}

/// Guards against a node that starts after the return, reads the older copy, and serves by it although
/// its peers know a later version.
#[test]
fn a_node_that_starts_after_a_restore_takes_the_version_that_its_peers_keep() {
    for is_first_watcher in [true, false] {
        let mut versions = Vec::new();
        let mut in_force = 0;
        simulate(&SimSettings::default(), async |world| {
            let copy = lose_changes(world).await;
            tokio::time::sleep(APPLY_TIME).await;
            in_force = world.versions()[0];
            let watchers = world.watchers();
            let others = (0..world.nodes.len()).filter(|number| !watchers.contains(number));
            let restarted: Vec<usize> = if is_first_watcher {
                watchers.iter().copied().take(1).collect()
            } else {
                others.collect()
            };
            let restore = StoreRestore {
                copy: Some(copy),
                operator_delay: None,
                ..Default::default()
            };
            let away = restore.away;
            restore.begin(world);
            for number in &restarted {
                world.kill(*number);
            }
            tokio::time::sleep(away + Duration::from_millis(500)).await;
            for number in &restarted {
                world.spawn(*number);
            }
            tokio::time::sleep(APPLY_TIME).await;
            versions = world.versions();
        });
        assert!(
            versions.iter().all(|version| *version == in_force),
            "{versions:?} of {in_force}, first watcher restarted: {is_first_watcher}"
        );
    }
}

/// Guards against requests to a target that left in the lost seconds, and that the copy still has.
#[test]
fn a_target_that_left_is_not_used_again_after_a_restore() {
    let mut used = Vec::new();
    for (name, leave) in [
        ("removed", SimWorld::remove_target as fn(&SimWorld)),
        ("draining", SimWorld::drain_target),
    ] {
        for restore in StoreRestore::kinds() {
            simulate(&SimSettings::default(), async |world| {
                world.renew_regularly(HEARTBEAT_INTERVAL);
                let copy = lose_changes(world).await;
                let oldest = world.targets.borrow().keys().next().cloned();
                let id = oldest.expect("a target");
                leave(world);
                tokio::time::sleep(APPLY_TIME).await;
                // A target that has reported that it drains may end before it can report it again.
                world.targets.borrow_mut().shift_remove(&id);
                let away = restore.away;
                let returned = Instant::now() + away;
                let copy = Some(copy);
                let described = format!("{name}, {:?} for {away:?}", restore.failure);
                StoreRestore { copy, ..restore }.begin(world);
                let time = away + CALM_TIME * 2;
                let nodes = flawed_nodes(world, returned, time, |view| is_usable(view, &id)).await;
                if !nodes.is_empty() {
                    used.push(format!("{described}: {}", nodes.join(", ")));
                }
            });
        }
    }
    assert_eq!(used, Vec::<String>::new());
}

/// Guards against targets that are given up because the copy lacks them, and against targets that have
/// ended meanwhile and are kept for good.
#[test]
fn targets_missing_in_an_older_copy_are_used_until_they_register_again() {
    for (failure, renews) in [
        (StoreFailure::Silent, false),
        (StoreFailure::Busy, true),
        (StoreFailure::Reset, true),
    ] {
        let [mut unused, mut given_up, mut kept] = [const { Vec::<String>::new() }; 3];
        simulate(&SimSettings::default(), async |world| {
            let copy = lose_changes(world).await;
            let known: IndexSet<String> = world.targets.borrow().keys().cloned().collect();
            world.add_target();
            world.add_target();
            tokio::time::sleep(APPLY_TIME).await;
            let added: Vec<String> = {
                let targets = world.targets.borrow();
                let ids = targets.keys().filter(|id| !known.contains(*id));
                ids.cloned().collect()
            };
            let (running, ended) = (added[0].clone(), added[1].clone());
            world.targets.borrow_mut().shift_remove(&ended);
            let restore = StoreRestore {
                copy: Some(copy),
                failure,
                target_delay: Some(Duration::from_millis(1500)),
                ..Default::default()
            };
            let away = restore.away;
            let returned = Instant::now() + away;
            restore.begin(world);
            let lacks = |id: String| move |view: &FleetView| !is_usable(view, &id);
            let uses_ended = |view: &FleetView| is_usable(view, &ended);
            (unused, given_up, kept) = tokio::join!(
                flawed_nodes(world, returned, away + CALM_TIME * 2, lacks(running)),
                // Targets get about two seconds to register again.
                flawed_nodes(
                    world,
                    returned,
                    away + Duration::from_millis(1950),
                    lacks(ended.clone())
                ),
                async {
                    tokio::time::sleep(away + Duration::from_secs(2)).await;
                    if renews {
                        world.renew_regularly(HEARTBEAT_INTERVAL);
                    }
                    tokio::time::sleep(Duration::from_secs(2)).await;
                    flawed_nodes(world, returned, CALM_TIME, uses_ended).await
                },
            );
        });
        let nodes = [unused, given_up, kept];
        assert_eq!(
            nodes,
            [const { Vec::<String>::new() }; 3],
            "{failure:?}: nodes that gave up a target that registered again, or one that did not too \
             early, or that kept the second one"
        );
    }
}

/// Guards against an evacuation that ends because the copy lacks it, and against one that can't be taken
/// back after that.
#[test]
fn an_evacuation_missing_in_an_older_copy_is_kept_until_it_is_written_again() {
    for (failure, operator_delay) in [
        (StoreFailure::Silent, Duration::ZERO),
        (StoreFailure::Busy, Duration::from_millis(1500)),
        (StoreFailure::Reset, APPLY_TIME),
    ] {
        let [mut ended, mut kept] = [const { Vec::<String>::new() }; 2];
        let (_, violations) = simulate(&SimSettings::default(), async |world| {
            let copy = lose_changes(world).await;
            world.toggle_evacuation(1);
            tokio::time::sleep(APPLY_TIME).await;
            let restore = StoreRestore {
                copy: Some(copy),
                failure,
                operator_delay: Some(operator_delay),
                ..Default::default()
            };
            let away = restore.away;
            let returned = Instant::now() + away;
            restore.begin(world);
            let time = away + operator_delay + CALM_TIME;
            ended = flawed_nodes(world, returned, time, |view| !is_evacuated(view)).await;
            world.toggle_evacuation(1);
            tokio::time::sleep(APPLY_TIME).await;
            kept = flawed_nodes(world, returned, APPLY_TIME, is_evacuated).await;
        });
        assert_eq!(
            [ended, kept, violations],
            [const { Vec::<String>::new() }; 3],
            "{failure:?}, written again after {operator_delay:?}: nodes that ended the evacuation, or \
             kept it after it was taken back, and violations"
        );
    }
}
