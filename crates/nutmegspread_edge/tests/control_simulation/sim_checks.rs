//! Checks that nodes apply acknowledged changes in time and never go back.

use crate::sim_world::{SimChange, SimWorld};
use indexmap::{IndexMap, IndexSet};
use nutmegspread_edge::FleetView;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which a node in touch must apply a change after the store's acknowledgement.
pub const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time without disturbance of the node and of the store after which a node is in touch.
const STABLE_TIME: Duration = Duration::from_secs(4);
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Checks the views of all nodes again and again.
pub async fn watch_nodes(world: Rc<SimWorld>) {
    let mut versions: IndexMap<(usize, u64), u64> = IndexMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        for number in 0..world.nodes.len() {
            let node = &world.nodes[number];
            let Some(control) = node.control().filter(|_| !node.is_frozen.get()) else {
                continue;
            };
            let view = control.shared.view.load();
            let version = view.table.as_ref().map_or(0, |table| table.version);
            let known = versions.entry((number, node.start_number())).or_default();
            if version < *known {
                let message = format!("went back from configuration {known} to {version}");
                report(&world, number, &message);
            }
            *known = version;
            if is_in_touch(&world, number, Instant::now()) {
                for violation in find_late_changes(&world, &view) {
                    report(&world, number, &violation);
                }
            }
        }
    }
}

/// Whether neither the node nor the store was disturbed for `STABLE_TIME` before `now`.
fn is_in_touch(world: &SimWorld, node: usize, now: Instant) -> bool {
    let disturbances = world.disturbances.borrow();
    !disturbances.iter().any(|disturbance| {
        disturbance.node.is_none_or(|number| number == node)
            && disturbance.from <= now
            && disturbance.to + STABLE_TIME > now
    })
}

/// Returns a line for each change that should be in force but is not.
fn find_late_changes(world: &SimWorld, view: &FleetView) -> Vec<String> {
    let now = Instant::now();
    let changes = world.changes.borrow();
    let mut due_version = 0;
    let mut late = Vec::new();
    // Domains whose evacuation is due, unless it was ended or started anew in the meantime.
    let mut evacuated: IndexSet<&String> = IndexSet::new();
    for (at, change) in changes.iter() {
        let is_due = *at + APPLY_TIME < now;
        match change {
            SimChange::Configuration(version) if is_due => due_version = *version,
            SimChange::Drain(id) if is_due => {
                let mut usable = view.targets.values().flatten();
                if usable.any(|target| *target.id == **id) {
                    late.push(format!("uses {id} {:?} after its drain", now - *at));
                }
            }
            SimChange::Evacuation(domain, true) if is_due => {
                evacuated.insert(domain);
            }
            SimChange::Evacuation(domain, false) => {
                evacuated.shift_remove(domain);
            }
            _ => {}
        }
    }
    let version = view.table.as_ref().map_or(0, |table| table.version);
    if version < due_version {
        late.push(format!("has configuration {version}, not {due_version}"));
    }
    for domain in evacuated {
        if !view.evacuated.contains(domain.as_str()) {
            late.push(format!("uses {domain}, which is evacuated"));
        }
    }
    late
}

fn report(world: &SimWorld, node: usize, violation: &str) {
    let at = (Instant::now() - world.started).as_secs_f64();
    let node = &world.nodes[node].name;
    let mut violations = world.violations.borrow_mut();
    violations.push(format!("{at:.2} s: {node} {violation}"));
}
