//! Checks that nodes apply acknowledged changes in time and never go back.

use crate::sim_change::{AcknowledgedChange, SimChange};
use crate::sim_world::SimWorld;
use indexmap::{IndexMap, IndexSet};
use nutmegspread_edge::FleetView;
use nutmegspread_edge::control::ControlNode;
use nutmegspread_tier::StorePosition;
use nutmegspread_tier::TargetId;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which a node in touch must apply a change after the store's acknowledgement.
pub const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time without disturbance of the node and of the store after which a node is in touch.
const STABLE_TIME: Duration = Duration::from_secs(4);
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What a node has shown since its process started.
#[derive(Debug, Default)]
struct NodeHistory {
    /// Numbers of the changes that the node has applied.
    applied: IndexSet<usize>,
    /// Targets that were usable in some view.
    used: IndexSet<TargetId>,
    /// Number of the view that was checked last.
    view: u64,
}

impl NodeHistory {
    fn record_view(&mut self, view: &FleetView) {
        if view.number != self.view {
            self.view = view.number;
            let usable = view.targets.values().flatten();
            self.used.extend(usable.map(|target| target.id.clone()));
        }
    }
}

/// Checks the views of all nodes again and again.
pub async fn watch_nodes(world: Rc<SimWorld>) {
    let mut histories: IndexMap<(usize, u64), NodeHistory> = IndexMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        for number in 0..world.nodes.len() {
            let node = &world.nodes[number];
            if let Some(control) = node.control().filter(|_| !node.is_frozen.get()) {
                let history = histories.entry((number, node.start_number()));
                check_node(&world, number, &control, history.or_default());
            }
        }
    }
}

/// Reports each change that a node does not have in time, or does not have any more.
fn check_node(world: &SimWorld, number: usize, control: &ControlNode, history: &mut NodeHistory) {
    let view = control.shared.view.load();
    history.record_view(&view);
    let now = Instant::now();
    let node = &world.nodes[number];
    let is_in_touch = is_calm(world, now, |disturbed| {
        disturbed.is_none_or(|disturbed| disturbed == number)
    });
    for (index, acknowledged) in world.changes.borrow().iter().enumerate() {
        let change = &acknowledged.change;
        if is_revoked(world, index) {
            continue;
        }
        if has_applied(&view, change) {
            if is_certain(control, acknowledged, history) {
                history.applied.insert(index);
            }
            continue;
        }
        if history.applied.contains(&index) {
            report(world, &format!("{} went back behind {change:?}", node.name));
        }
        // A drain counts only if it was acknowledged while the store was stable.
        let counts = match change {
            SimChange::Drain(_) => is_calm(world, acknowledged.at, |disturbed| disturbed.is_none()),
            _ => true,
        };
        let age = acknowledged.due_from.map(|due_from| now - due_from);
        if is_in_touch && counts && age > Some(APPLY_TIME) {
            report(
                world,
                &format!("{} lacks {change:?} after {age:?}", node.name),
            );
        }
    }
}

/// Whether a node whose view contains a change has read it.
fn is_certain(
    control: &ControlNode,
    acknowledged: &AcknowledgedChange,
    history: &NodeHistory,
) -> bool {
    let change = &acknowledged.change;
    match change {
        SimChange::Configuration(_) => true,
        // A node that did not know the target before has not applied its drain.
        SimChange::Drain(id) => history.used.contains(id.as_str()),
        // The view may show an earlier evacuation of the domain, whose end the node has not read yet.
        SimChange::Evacuation(..) => {
            let known = control.state.borrow().position(change.kind());
            let (era, revision) = acknowledged.position;
            known >= Some(StorePosition { era, revision })
        }
    }
}

/// Whether a later change of the operator has ended this one.
fn is_revoked(world: &SimWorld, index: usize) -> bool {
    let changes = world.changes.borrow();
    match &changes[index].change {
        SimChange::Evacuation(domain, true) => {
            let end = SimChange::Evacuation(domain.clone(), false);
            changes[index + 1..].iter().any(|later| later.change == end)
        }
        // Nodes may use a domain as soon as they know that its evacuation has ended, but need not.
        SimChange::Evacuation(_, false) => true,
        SimChange::Configuration(_) | SimChange::Drain(_) => false,
    }
}

/// Whether a view contains a change.
fn has_applied(view: &FleetView, change: &SimChange) -> bool {
    match change {
        SimChange::Configuration(version) => view
            .table
            .as_ref()
            .is_some_and(|table| table.version >= *version),
        SimChange::Drain(id) => {
            let mut usable = view.targets.values().flatten();
            !usable.any(|target| *target.id == **id)
        }
        SimChange::Evacuation(domain, active) => {
            view.evacuated.contains(domain.as_str()) == *active
        }
    }
}

/// Whether no disturbance of those that `counts` accepts, by the node that it affects, was going on
/// in the `STABLE_TIME` before `at`.
fn is_calm(world: &SimWorld, at: Instant, counts: impl Fn(Option<usize>) -> bool) -> bool {
    let disturbances = world.disturbances.borrow();
    !disturbances.iter().any(|disturbance| {
        counts(disturbance.node) && disturbance.from <= at && disturbance.to + STABLE_TIME > at
    })
}

fn report(world: &SimWorld, violation: &str) {
    let at = (Instant::now() - world.started).as_secs_f64();
    let mut violations = world.violations.borrow_mut();
    violations.push(format!("{at:.2} s: {violation}"));
}
