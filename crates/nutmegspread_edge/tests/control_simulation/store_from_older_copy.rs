//! A store that comes back from a copy some seconds old, and gives out revisions again.

use crate::sim_checks::APPLY_TIME;
use crate::sim_network::StoreFailure;
use crate::sim_restore::{CALM_TIME, HEARTBEAT_INTERVAL, StoreRestore, lose_changes};
use crate::sim_settings::SimSettings;
use crate::sim_world::SimWorld;
use crate::simulate;
use nutmegspread_platform_standin::EraHeader;
use std::rc::Rc;
use std::time::Duration;

/// Makes a change once nodes are in touch again after each kind of restore, and returns the first
/// violation of each run. In half of the runs, targets renew their registrations all the while.
fn late_after_restores(change: impl Fn(&SimWorld)) -> Vec<String> {
    let mut late = Vec::new();
    let runs = [false, true].map(|renews| {
        StoreRestore::kinds()
            .into_iter()
            .map(move |kind| (renews, kind))
    });
    for (renews, restore) in runs.into_iter().flatten() {
        let name = format!(
            "{:?} for {:?}, written again after {:?} and {:?}, targets renew: {renews}",
            restore.failure, restore.away, restore.operator_delay, restore.target_delay
        );
        let (_, violations) = simulate(&SimSettings::default(), async |world| {
            if renews {
                world.renew_regularly(HEARTBEAT_INTERVAL);
            }
            let (copy, away) = (lose_changes(world).await, restore.away);
            let copy = Some(copy);
            StoreRestore { copy, ..restore }.begin(world);
            tokio::time::sleep(away + CALM_TIME).await;
            change(world);
            tokio::time::sleep(APPLY_TIME * 2).await;
        });
        late.extend(violations.first().map(|first| format!("{name}: {first}")));
    }
    late
}

#[test]
fn a_configuration_acknowledged_after_a_restore_is_in_force_in_time() {
    let late = late_after_restores(SimWorld::publish_configuration);
    assert_eq!(late, Vec::<String>::new());
}

#[test]
fn a_drain_acknowledged_after_a_restore_is_in_force_in_time() {
    let late = [SimWorld::drain_target, SimWorld::remove_target].map(late_after_restores);
    assert_eq!(late.concat(), Vec::<String>::new());
}

#[test]
fn an_evacuation_acknowledged_after_a_restore_is_in_force_in_time() {
    let late = late_after_restores(|world| world.toggle_evacuation(1));
    assert_eq!(late, Vec::<String>::new());
}

#[test]
fn two_restores_within_a_second() {
    for is_second_copy in [false, true] {
        let (_, violations) = simulate(&SimSettings::default(), async |world| {
            world.renew_regularly(HEARTBEAT_INTERVAL);
            let copy = lose_changes(world).await;
            let away = Duration::from_millis(300);
            let first = StoreRestore {
                copy: Some(copy.clone()),
                away,
                operator_delay: Some(Duration::from_millis(100)),
                target_delay: Some(Duration::ZERO),
                ..Default::default()
            };
            first.clone().begin(world);
            tokio::time::sleep(away + Duration::from_millis(200)).await;
            let second_copy = if is_second_copy {
                world.store.take_copy()
            } else {
                copy
            };
            tokio::time::sleep(Duration::from_millis(200)).await;
            let second = StoreRestore {
                copy: Some(second_copy),
                operator_delay: Some(Duration::from_millis(700)),
                ..first
            };
            second.begin(world);
            tokio::time::sleep(away + CALM_TIME).await;
            for change in [
                SimWorld::publish_configuration,
                SimWorld::drain_target,
                |world: &SimWorld| world.toggle_evacuation(1),
            ] {
                change(world);
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            tokio::time::sleep(APPLY_TIME * 2).await;
        });
        assert_eq!(
            violations.first(),
            None,
            "second copy taken after the first return: {is_second_copy}"
        );
    }
}

/// Number of calls of the full price in the 10 s after the return of the store, by the second.
fn calls_after_return(settings: &SimSettings, is_restored: bool) -> Vec<u64> {
    let mut calls = Vec::new();
    simulate(settings, async |world| {
        let copy = lose_changes(world).await;
        let restore = StoreRestore {
            copy: is_restored.then_some(copy),
            ..Default::default()
        };
        let away = restore.away;
        restore.begin(world);
        tokio::time::sleep(away).await;
        for _ in 0..10 {
            let before = world.store.calls();
            tokio::time::sleep(Duration::from_secs(1)).await;
            calls.push(world.store.calls() - before);
        }
    });
    calls
}

/// Guards against nodes that read lists and watches in turns, and against all nodes that read the store
/// at once.
#[test]
fn calls_after_a_restore_are_no_more_than_after_an_outage() {
    let mut exceeded = Vec::new();
    for domains in [vec![3, 2, 2], vec![25, 25, 25]] {
        let nodes: usize = domains.iter().sum();
        let [mut outages, mut restores] = [0, 0];
        for seed in 0..5 {
            let settings = SimSettings {
                seed,
                domains: domains.clone(),
                large: 7,
            };
            let [outage, restore] =
                [false, true].map(|is_restored| calls_after_return(&settings, is_restored));
            println!("{nodes} nodes, seed {seed}: {outage:?} a second, restored {restore:?}");
            outages += outage.iter().sum::<u64>();
            restores += restore.iter().sum::<u64>();
        }
        if restores as f64 > 1.2 * outages as f64 {
            exceeded.push(format!("{nodes} nodes: {restores} calls after {outages}"));
        }
    }
    assert_eq!(exceeded, Vec::<String>::new());
}

#[test]
fn a_store_without_eras_is_followed_as_before() {
    for failure in [
        StoreFailure::Silent,
        StoreFailure::Busy,
        StoreFailure::Reset,
    ] {
        let mut versions = Vec::new();
        let (_, violations) = simulate(&SimSettings::default(), async |world| {
            world.store.set_era_header(EraHeader::Missing);
            for number in 0..world.nodes.len() {
                world.disturb(Some(number), Duration::ZERO);
                world.kill(number);
                world.spawn(number);
            }
            tokio::time::sleep(CALM_TIME).await;
            let restore = StoreRestore {
                failure,
                ..Default::default()
            };
            let away = restore.away;
            restore.begin(world);
            tokio::time::sleep(away + CALM_TIME).await;
            world.publish_configuration();
            world.drain_target();
            world.remove_target();
            world.toggle_evacuation(1);
            tokio::time::sleep(APPLY_TIME * 2).await;
            versions = world.versions();
        });
        assert_eq!(violations.first(), None, "{failure:?}");
        assert!(
            versions.iter().all(|version| *version == versions[0]),
            "{versions:?}"
        );
    }
}

/// Makes node 0 miss a restore.
type MissRestore = fn(&Rc<SimWorld>, Duration);

#[test]
fn a_node_that_was_frozen_or_cut_off_during_a_restore_catches_up() {
    let ways: [(&str, MissRestore); 3] = [
        ("frozen", |world, time| {
            world.disturb(Some(0), time);
            world.set_frozen(0, true);
            world.after(time, |world| world.set_frozen(0, false));
        }),
        ("cut off from the store", |world, time| {
            world.fail_store(0, StoreFailure::Silent, time);
        }),
        ("cut off from the store and the nodes", |world, time| {
            world.fail_store(0, StoreFailure::Silent, time);
            world.isolate(0, time);
        }),
    ];
    for (name, miss) in ways {
        let mut versions = Vec::new();
        let (_, violations) = simulate(&SimSettings::default(), async |world| {
            world.renew_regularly(HEARTBEAT_INTERVAL);
            let copy = Some(lose_changes(world).await);
            let restore = StoreRestore {
                copy,
                ..Default::default()
            };
            let missed = restore.away + APPLY_TIME;
            miss(world, missed);
            restore.begin(world);
            tokio::time::sleep(missed - Duration::from_millis(500)).await;
            world.publish_configuration();
            world.toggle_evacuation(1);
            world.drain_target();
            tokio::time::sleep(CALM_TIME + APPLY_TIME * 2).await;
            versions = world.versions();
        });
        assert_eq!(violations.first(), None, "{name}");
        assert!(
            versions.iter().all(|version| *version == versions[0]),
            "{name}: {versions:?}"
        );
    }
}
