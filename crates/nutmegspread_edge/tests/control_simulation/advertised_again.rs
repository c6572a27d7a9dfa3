//! Nodes that reached no target for a while.

use crate::sim_settings::SimSettings;
use crate::sim_world::SimWorld;
use crate::simulate;
use std::time::Duration;
use tokio::time::Instant;

/// Whether each other node advertises node 0 to callers.
fn advertising(world: &SimWorld) -> Vec<bool> {
    let now = Instant::now().into_std();
    let address = |number: usize| {
        let control = world.nodes[number].control().expect("the node runs");
        let own = control.state.borrow_mut().own_record(now);
        (control, own.callers)
    };
    let (_, sought) = address(0);
    (1..world.nodes.len())
        .map(|number| {
            address(number)
                .0
                .state
                .borrow_mut()
                .addresses(now)
                .contains(&sought)
        })
        .collect()
}

/// Guards against a node that is never advertised again: it reached no target at its last request, and
/// callers who ask for the advertised nodes send it no other one.
#[test]
fn a_node_without_requests_is_advertised_again() {
    let mut seen = Vec::new();
    simulate(&SimSettings::default(), async |world| {
        let others = world.nodes.len() - 1;
        let shared = world.nodes[0]
            .control()
            .expect("node 0 runs")
            .shared
            .clone();
        seen.push(advertising(world) == vec![true; others]);
        shared.record_reach(Instant::now().into_std(), false);
        tokio::time::sleep(Duration::from_millis(1500)).await;
        seen.push(advertising(world) == vec![false; others]);
        tokio::time::sleep(Duration::from_secs(28)).await;
        seen.push(advertising(world) == vec![true; others]);
    });
    assert_eq!(seen, [true; 3]);
}
