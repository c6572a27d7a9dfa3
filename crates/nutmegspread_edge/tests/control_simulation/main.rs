//! Simulation of the control threads of many nodes in virtual time, under random faults.
//!
//! The tasks and states are those of a real node; the store is the stand-in, and the network between
//! them is simulated. An operator changes the configuration, drains targets and evacuates failure
//! domains. Every node that is in touch with the store must apply each change within `APPLY_TIME`.
//!
//! `SIMULATION_SEEDS=1000-2000 cargo test -p nutmegspread_edge --test control_simulation random`
//! runs other seeds; a failure prints its seed, the faults of the run and the first violations.

mod advertised_again;
mod cut_off_domain;
mod fleet_sizes;
mod kept_over_older_copy;
mod repeated_rollouts;
mod sim_change;
mod sim_checks;
mod sim_faults;
mod sim_network;
mod sim_node;
mod sim_restore;
mod sim_settings;
mod sim_target;
mod sim_world;
mod store_from_older_copy;
mod unusual_returns;
mod withdrawn_keys;

use nutmegspread_platform_standin::StoreFault;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sim_checks::APPLY_TIME;
use sim_faults::{SimFault, inject_faults, inject_restores, make_changes};
use sim_network::{SimPlace, StoreFailure};
use sim_restore::HEARTBEAT_INTERVAL;
use sim_settings::SimSettings;
use sim_world::SimWorld;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

/// Seeds that run without `SIMULATION_SEEDS`.
const DEFAULT_SEEDS: std::ops::Range<u64> = 0..60;
/// Seeds with which a node that was cut off from the store kept a removed target for too long: it was
/// cut off from all other nodes as well, and in the last one it still heard them.
const CUT_OFF_SEEDS: [u64; 4] = [10_927, 50_142, 50_374, 80_179];
/// Seeds of the runs with restores of the store.
const RESTORE_SEEDS: std::ops::Range<u64> = 0..40;
/// Time in which nodes find each other after a common start.
const START_TIME: Duration = Duration::from_secs(6);
/// Time with faults and changes in a run with random faults.
const FAULT_TIME: Duration = Duration::from_secs(40);

/// Seeds that `SIMULATION_SEEDS` names, or `default` without it.
fn seeds(default: impl Iterator<Item = u64>) -> Vec<u64> {
    let Ok(text) = std::env::var("SIMULATION_SEEDS") else {
        return default.collect();
    };
    let (from, to) = text.split_once('-').unwrap_or((&text, &text));
    let parse = |text: &str| text.trim().parse().expect("SIMULATION_SEEDS is N or N-M");
    (parse(from)..=parse(to)).collect()
}

/// Runs `course` in a world that has started, and returns the violations of rules.
fn simulate(
    settings: &SimSettings,
    course: impl AsyncFnOnce(&Rc<SimWorld>),
) -> (Rc<SimWorld>, Vec<String>) {
    simulate_after(settings, START_TIME, course)
}

/// Runs `course` in a world that started `start_time` before, and returns the violations of rules.
fn simulate_after(
    settings: &SimSettings,
    start_time: Duration,
    course: impl AsyncFnOnce(&Rc<SimWorld>),
) -> (Rc<SimWorld>, Vec<String>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let world = SimWorld::start(settings);
        tokio::time::sleep(start_time).await;
        let watch = tokio::task::spawn_local(sim_checks::watch_nodes(Rc::clone(&world)));
        course(&world).await;
        watch.abort();
        let violations = world.violations.borrow().clone();
        (world, violations)
    })
}

/// Publishes a configuration after `fault` and waits until it has to be in force.
fn configuration_after(fault: impl FnOnce(&Rc<SimWorld>)) -> Vec<String> {
    let (_, violations) = simulate(&SimSettings::default(), async |world| {
        fault(world);
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.publish_configuration();
        tokio::time::sleep(APPLY_TIME * 2).await;
    });
    violations
}

#[test]
fn a_configuration_reaches_all_nodes_while_no_answer_reaches_the_watchers() {
    let violations = configuration_after(|world| {
        for watcher in world.watchers() {
            world.fail_store(watcher, StoreFailure::Silent, Duration::from_secs(30));
        }
    });
    assert_eq!(violations, Vec::<String>::new());
}

#[test]
fn a_configuration_reaches_all_nodes_after_the_watches_were_lost_unnoticed() {
    let violations = configuration_after(|world| {
        for watcher in world.watchers() {
            world.lose_calls(SimPlace::Node(watcher));
        }
    });
    assert_eq!(violations, Vec::<String>::new());
}

#[test]
fn a_configuration_reaches_all_nodes_while_a_domain_cannot_reach_the_store() {
    let violations = configuration_after(|world| {
        for number in world.nodes_of_domain(0) {
            world.fail_store(number, StoreFailure::Silent, Duration::from_secs(30));
        }
    });
    assert_eq!(violations, Vec::<String>::new());
}

/// Number of calls to the store that all nodes together make in `time` without any change.
fn calls_at_rest(settings: &SimSettings, time: Duration) -> u64 {
    let (world, _) = simulate(settings, async |world| {
        tokio::time::sleep(time).await;
        let before = world.store.calls();
        tokio::time::sleep(time).await;
        world.calls_at_rest.set(world.store.calls() - before);
    });
    world.calls_at_rest.get()
}

#[test]
fn calls_of_the_store_at_rest_do_not_grow_with_the_nodes() {
    let time = Duration::from_secs(60);
    let calls = [vec![1], vec![3, 2, 2], vec![25, 25, 25]].map(|domains| {
        let settings = SimSettings {
            large: 7,
            domains,
            ..Default::default()
        };
        calls_at_rest(&settings, time)
    });
    // One call a second confirms that nothing has changed, and four watches wait for 16 s each.
    assert!(calls.iter().all(|calls| *calls <= 75), "{calls:?}");
}

/// The watchers may know the same change by different revisions of the store.
#[test]
fn nodes_that_know_all_changes_make_no_relay_calls() {
    let (world, _) = simulate(&SimSettings::default(), async |world| {
        let late = world.watchers()[1];
        world.isolate(late, Duration::from_millis(2500));
        world.lose_calls(SimPlace::Node(late));
        world.publish_configuration();
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.add_target();
        tokio::time::sleep(Duration::from_secs(8)).await;
        world.relay_calls.set(0);
        tokio::time::sleep(Duration::from_secs(20)).await;
    });
    assert_eq!(world.relay_calls.get(), 0);
}

#[test]
fn a_large_configuration_reaches_a_node_over_a_thin_link() {
    let (world, _) = simulate(&SimSettings::default(), async |world| {
        let thin = world.nodes.len() - 1;
        world.links.borrow_mut().thin.insert(thin, 20e3);
        world.publish_large_configuration();
        tokio::time::sleep(Duration::from_secs(12)).await;
    });
    let versions = world.versions();
    assert!(
        versions.iter().all(|version| *version == versions[0]),
        "{versions:?}"
    );
}

#[test]
fn a_stale_list_after_a_restart_does_not_replace_later_objects() {
    let (world, violations) = simulate(&SimSettings::default(), async |world| {
        world.store.set_stale_point();
        world.toggle_evacuation(1);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let leader = world.watchers()[0];
        world.disturb(Some(leader), Duration::ZERO);
        world.disturb(None, Duration::from_secs(6));
        world.kill(leader);
        let slow = StoreFault::Slow(Duration::from_millis(400));
        world.store.set_fault(slow);
        // The node asks the store first, and hears its peers before the store answers.
        world.isolate(leader, Duration::from_millis(150));
        world.spawn(leader);
        tokio::time::sleep(Duration::from_secs(6)).await;
    });
    assert_eq!(violations, Vec::<String>::new());
    assert!(world.is_evacuated_everywhere("domain-1"));
}

/// Runs random faults with each of the seeds, with restores of the store if `restores`, and returns the
/// seeds with which time limits were broken.
fn failed_seeds(seeds: Vec<u64>, restores: bool) -> Vec<u64> {
    let mut failed_seeds = Vec::new();
    for seed in seeds {
        let random = Pcg64::seed_from_u64(seed);
        let (world, violations) = simulate(&SimSettings::random(seed), async |world| {
            let faults = inject_faults(Rc::clone(world), random.clone(), FAULT_TIME);
            let changes = make_changes(Rc::clone(world), random.clone(), FAULT_TIME);
            if restores {
                let random = Pcg64::seed_from_u64(!seed);
                if seed % 2 == 0 {
                    world.renew_regularly(HEARTBEAT_INTERVAL);
                }
                let restores = inject_restores(Rc::clone(world), random, FAULT_TIME);
                tokio::join!(faults, changes, restores);
            } else {
                tokio::join!(faults, changes);
            }
        });
        if !violations.is_empty() {
            for fault in world.faults.borrow().iter() {
                println!("seed {seed}: {}", SimFault::describe(fault));
            }
            for violation in violations.iter().take(4) {
                println!("seed {seed}: {violation}");
            }
            failed_seeds.push(seed);
        }
    }
    failed_seeds
}

#[test]
fn random_faults_break_no_time_limit() {
    let failed_seeds = failed_seeds(seeds(DEFAULT_SEEDS.chain(CUT_OFF_SEEDS)), false);
    assert!(
        failed_seeds.is_empty(),
        "time limits were broken with the seeds {failed_seeds:?}"
    );
}

#[test]
fn random_faults_with_restores_break_no_time_limit() {
    let failed_seeds = failed_seeds(seeds(RESTORE_SEEDS), true);
    assert!(
        failed_seeds.is_empty(),
        "time limits were broken with the seeds {failed_seeds:?}"
    );
}
