//! Rollouts that are ordered again after they were rolled back.

use crate::sim_settings::SimSettings;
use crate::sim_world::SimWorld;
use crate::simulate;
use nutmegspread_tier::VersionCounts;
use std::time::Duration;

const SERVICE: &str = "service-0";
const VERSION: &str = "v2";

/// Lets node 0 see a version that fails, as its traffic thread would count it.
fn fail_version(world: &SimWorld) {
    let shared = world.nodes[0]
        .control()
        .expect("node 0 runs")
        .shared
        .clone();
    let view = shared.view.load();
    let rollout = &view.rollouts[SERVICE];
    let count = |counts: &mut VersionCounts| {
        for number in 0..100 {
            counts.old.count(false, false);
            counts.new.count(number < 60, false);
        }
    };
    shared
        .evidence
        .update(&SERVICE.into(), rollout, &"route-0".into(), count);
}

/// Guards against counts and marks of an ended rollout that decide the next one of the same version, and
/// against an order that is ignored because the version was rolled back before.
#[test]
fn a_version_that_was_rolled_back_may_be_ordered_again() {
    for is_removed_first in [false, true] {
        let mut states = Vec::new();
        simulate(&SimSettings::default(), async |world| {
            let state = || world.store.rollout_state(SERVICE).map(|(state, _)| state);
            let order = |seconds| {
                let time = Duration::from_secs(seconds);
                world.store.roll_out(SERVICE, VERSION, time);
            };
            order(60);
            tokio::time::sleep(Duration::from_secs(3)).await;
            fail_version(world);
            tokio::time::sleep(Duration::from_secs(3)).await;
            states.push(state());
            if is_removed_first {
                world.store.remove("rollouts", SERVICE);
            }
            order(30);
            tokio::time::sleep(Duration::from_secs(3)).await;
            states.push(state());
            tokio::time::sleep(Duration::from_secs(27)).await;
            states.push(state());
        });
        let states: Vec<&str> = states.iter().flatten().map(String::as_str).collect();
        assert_eq!(
            states,
            ["rolled_back", "running", "completed"],
            "removed first: {is_removed_first}"
        );
    }
}
