//! Who belongs to the fleet, and how soon nodes agree.

mod support;

use nutmegspread_model::TargetLimits;
use nutmegspread_policy::fleet::FleetSettings;
use std::time::Duration;
use support::FleetNetwork;

const SECOND: Duration = Duration::from_secs(1);

fn total_slots(network: &FleetNetwork, target: &str, limits: &TargetLimits) -> u32 {
    (0..network.nodes.len())
        .map(|index| network.share(index, target, limits).slots)
        .sum()
}

#[test]
fn seven_nodes_settle_and_hold_every_slot() {
    let mut network = FleetNetwork::new(7, FleetSettings::default(), 1);
    network.run_for(4 * SECOND, |_| {});
    assert!(network.settled().is_empty());
    network.run_for(6 * SECOND, |_| {});
    assert_eq!(network.settled(), [0, 1, 2, 3, 4, 5, 6]);
    let limits = TargetLimits {
        slots: 3,
        ..Default::default()
    };
    for target in ["a", "b", "c", "d"] {
        assert_eq!(total_slots(&network, target, &limits), 3);
    }
}
