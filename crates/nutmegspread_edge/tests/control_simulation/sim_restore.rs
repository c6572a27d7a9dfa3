//! A store that is away for a moment and comes back from an earlier copy.

use crate::sim_change::SimChange;
use crate::sim_network::{CallBreak, SimPlace, StoreFailure};
use crate::sim_world::SimWorld;
use nutmegspread_platform_standin::{StoreCopy, StoreFault};
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two heartbeats of a target.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// Time of which the store loses all changes.
const LOST_TIME: Duration = Duration::from_secs(4);
/// Time after the return of the store from which nodes are in touch, and a little more.
pub const CALM_TIME: Duration = Duration::from_millis(4200);
/// Number of domains that are evacuated at times.
const SIMULATED_DOMAINS: usize = 3;
/// Time after which the operator and the targets try again while the store is away.
const RETRY_TIME: Duration = Duration::from_millis(50);

/// A store that is away for a moment and comes back from an earlier copy.
#[derive(Clone, Debug)]
pub struct StoreRestore {
    /// What the store holds when it comes back; `None` if it has lost nothing.
    pub copy: Option<StoreCopy>,
    /// Time for which the store is away.
    pub away: Duration,
    /// How calls fail while the store is away.
    pub failure: StoreFailure,
    /// Time after the return at which the operator writes the present configuration and evacuations
    /// again; `None` if it never does.
    pub operator_delay: Option<Duration>,
    /// Time after the return at which the targets register again; `None` if they never do.
    pub target_delay: Option<Duration>,
    /// Time after the return at which the store removes the registrations of targets that have left;
    /// `None` if it never does.
    pub lapse_time: Option<Duration>,
    /// Whether what is written again is written in the opposite order.
    pub is_reversed: bool,
}

impl Default for StoreRestore {
    fn default() -> Self {
        Self {
            copy: None,
            away: Duration::from_secs(1),
            failure: StoreFailure::Silent,
            operator_delay: Some(Duration::from_millis(500)),
            target_delay: Some(Duration::from_millis(500)),
            lapse_time: None,
            is_reversed: false,
        }
    }
}

impl StoreRestore {
    /// Restores of different kinds, for one run each.
    pub fn kinds() -> Vec<Self> {
        let late = Some(Duration::from_millis(1500));
        let mut restores = Vec::new();
        for failure in [
            StoreFailure::Silent,
            StoreFailure::Busy,
            StoreFailure::Reset,
        ] {
            for (away, operator_delay, target_delay, is_reversed) in [
                (2000, Some(Duration::ZERO), Some(Duration::ZERO), false),
                (300, Some(Duration::ZERO), late, true),
                (1000, late, Some(Duration::ZERO), false),
                (1000, late, late, true),
            ] {
                restores.push(Self {
                    away: Duration::from_millis(away),
                    failure,
                    operator_delay,
                    target_delay,
                    is_reversed,
                    ..Default::default()
                });
            }
        }
        restores
    }

    /// Makes the store fail, and come back from the copy after the time away.
    pub fn begin(self, world: &Rc<SimWorld>) {
        world.disturb(None, self.away);
        world.is_store_away.set(true);
        let nodes = 0..world.nodes.len();
        match self.failure {
            StoreFailure::Silent => {
                world.store.set_fault(StoreFault::Silent);
                world.lose_calls(SimPlace::Store);
            }
            StoreFailure::Busy => world.store.set_fault(StoreFault::Busy),
            StoreFailure::Reset => {
                for number in nodes {
                    world.break_calls(number, CallBreak::Closed);
                    world
                        .links
                        .borrow_mut()
                        .store_failures
                        .insert(number, StoreFailure::Reset);
                }
            }
        }
        world.after(self.away, move |world| self.end(world));
    }

    /// Brings the store back, and has what it has lost written again.
    fn end(self, world: &Rc<SimWorld>) {
        if let Some(copy) = &self.copy {
            mark_lost(world, copy);
            world.store.restore(copy.clone());
        }
        if self.failure == StoreFailure::Reset {
            let mut links = world.links.borrow_mut();
            links
                .store_failures
                .retain(|_, failure| *failure != StoreFailure::Reset);
        } else {
            world.store.set_fault(StoreFault::None);
        }
        world.is_store_away.set(false);
        let is_reversed = self.is_reversed;
        type Rewrite = fn(&SimWorld, bool);
        let mut rewrites: [(Option<Duration>, Rewrite); 3] = [
            (self.operator_delay, operate_again),
            (self.target_delay, register_again),
            (self.lapse_time, remove_lapsed),
        ];
        if is_reversed {
            rewrites.reverse();
        }
        for (delay, rewrite) in rewrites {
            match delay {
                Some(Duration::ZERO) => rewrite(world, is_reversed),
                Some(delay) => write_after(world, delay, move |world| rewrite(world, is_reversed)),
                None => {}
            }
        }
    }
}

/// Takes a copy of the store, and makes changes of all kinds that it lacks. No domain is evacuated at the
/// end.
pub async fn lose_changes(world: &SimWorld) -> StoreCopy {
    let copy = world.store.take_copy();
    let end = Instant::now() + LOST_TIME;
    while Instant::now() < end {
        world.publish_configuration();
        world.renew_targets();
        world.toggle_evacuation(2);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    copy
}

/// Writes to the store after `delay`, once it is available.
fn write_after(world: &Rc<SimWorld>, delay: Duration, write: impl FnOnce(&SimWorld) + 'static) {
    world.after(delay, move |world| {
        if world.is_store_away.get() {
            write_after(world, RETRY_TIME, write);
        } else {
            write(world);
        }
    });
}

/// Marks the changes that are not in the copy as lost.
fn mark_lost(world: &SimWorld, copy: &StoreCopy) {
    let held = (copy.era(), copy.revision());
    for acknowledged in world.changes.borrow_mut().iter_mut() {
        if acknowledged.position > held {
            acknowledged.due_from = None;
        }
    }
}

/// Marks those of the lost changes that `is_written` accepts as written again now.
fn mark_written(world: &SimWorld, is_written: impl Fn(&SimChange) -> bool) {
    for acknowledged in world.changes.borrow_mut().iter_mut() {
        if acknowledged.due_from.is_none() && is_written(&acknowledged.change) {
            acknowledged.due_from = Some(Instant::now());
            acknowledged.position = (world.store.era(), world.store.revision());
        }
    }
}

/// Writes the present configuration and evacuations, as the operator does after a loss.
fn operate_again(world: &SimWorld, is_reversed: bool) {
    let configure = || world.store.configure(&world.document.borrow());
    if !is_reversed {
        configure();
    }
    // Also domains without nodes.
    let domains = (0..SIMULATED_DOMAINS).map(|number| format!("domain-{number}"));
    let evacuated = world.evacuated.borrow();
    for domain in domains {
        if evacuated.contains(&domain) {
            world.store.put("evacuations", &domain, &json!({}));
        } else {
            world.store.remove("evacuations", &domain);
        }
    }
    if is_reversed {
        configure();
    }
    mark_written(world, |change| !matches!(change, SimChange::Drain(_)));
}

/// Has the targets that still run register again.
fn register_again(world: &SimWorld, is_reversed: bool) {
    let mut targets = world.targets.borrow_mut();
    let mut running: Vec<_> = targets.values_mut().collect();
    if is_reversed {
        running.reverse();
    }
    for target in running {
        target.register(&world.store);
    }
    mark_written(
        world,
        |change| matches!(change, SimChange::Drain(id) if targets.contains_key(id)),
    );
}

/// Removes the registrations of targets that have left.
fn remove_lapsed(world: &SimWorld, _: bool) {
    let targets = world.targets.borrow();
    let has_left = |id: &String| !targets.contains_key(id);
    for acknowledged in world.changes.borrow().iter() {
        if let SimChange::Drain(id) = &acknowledged.change
            && has_left(id)
        {
            world.store.deregister(id);
        }
    }
    mark_written(
        world,
        |change| matches!(change, SimChange::Drain(id) if has_left(id)),
    );
}
