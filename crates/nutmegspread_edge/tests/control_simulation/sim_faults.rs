//! Random faults and changes.

use crate::sim_network::{CallBreak, SimPlace, StoreFailure};
use crate::sim_restore::StoreRestore;
use crate::sim_world::SimWorld;
use nutmegspread_platform_standin::StoreFault;
use rand::Rng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A fault that was injected.
#[derive(Clone, Debug)]
pub struct SimFault {
    /// Time since the start.
    pub at: Duration,
    pub time: Duration,
    /// What happened, and to which nodes.
    pub what: String,
}

impl SimFault {
    /// Describes the fault in one line.
    pub fn describe(&self) -> String {
        let (at, time) = (self.at.as_secs_f64(), self.time.as_secs_f64());
        format!("{at:.2} s, for {time:.2} s: {}", self.what)
    }
}

/// Injects faults at random times; they may overlap.
pub async fn inject_faults(world: Rc<SimWorld>, mut random: Pcg64, length: Duration) {
    let end = Instant::now() + length;
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(random.random_range(300..6000))).await;
        let time = Duration::from_millis(random.random_range(300..7000));
        let nodes = choose_nodes(&world, &mut random);
        let what = inject(&world, &mut random, &nodes, time);
        let names: Vec<&str> = nodes
            .iter()
            .map(|number| world.nodes[*number].name.as_str())
            .collect();
        world.faults.borrow_mut().push(SimFault {
            at: Instant::now() - world.started,
            time,
            what: format!("{what}; nodes {}", names.join(" ")),
        });
    }
}

/// Has the store come back from earlier copies at random times, beside other faults.
pub async fn inject_restores(world: Rc<SimWorld>, mut random: Pcg64, length: Duration) {
    let end = Instant::now() + length;
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(random.random_range(300..8000))).await;
        let copy = world.store.take_copy();
        let lost_time = Duration::from_millis(random.random_range(300..6000));
        tokio::time::sleep(lost_time).await;
        let failures = [
            StoreFailure::Silent,
            StoreFailure::Busy,
            StoreFailure::Reset,
        ];
        let delays = [0, 100, 600, 1500].map(Duration::from_millis);
        let mut delay = || Some(delays[random.random_range(0..delays.len())]);
        let restore = StoreRestore {
            copy: Some(copy),
            operator_delay: delay(),
            target_delay: delay(),
            lapse_time: Some(Duration::from_millis(3600)),
            away: Duration::from_millis(random.random_range(300..2000)),
            failure: failures[random.random_range(0..failures.len())],
            is_reversed: random.random_bool(0.5),
        };
        let time = restore.away;
        world.faults.borrow_mut().push(SimFault {
            at: Instant::now() - world.started,
            time,
            what: format!(
                "the store loses {lost_time:?} and is away, {:?}; written again after {:?} and {:?}",
                restore.failure, restore.operator_delay, restore.target_delay
            ),
        });
        restore.begin(&world);
        tokio::time::sleep(time).await;
    }
}

/// Changes the configuration, targets and evacuations at random times while the store is available
/// to the operator.
pub async fn make_changes(world: Rc<SimWorld>, mut random: Pcg64, length: Duration) {
    let end = Instant::now() + length;
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(random.random_range(100..2500))).await;
        if world.is_store_away.get() {
            continue;
        }
        if random.random_bool(0.2) {
            world.store.set_stale_point();
        }
        match random.random_range(0..7) {
            0..=2 => world.publish_configuration(),
            3 => world.drain_target(),
            4 => world.add_target(),
            5 => world.remove_target(),
            _ => world.toggle_evacuation(random.random_range(0..3)),
        }
    }
}

/// Chooses the nodes that a fault affects: one, some, those of a domain, or the watchers.
fn choose_nodes(world: &SimWorld, random: &mut Pcg64) -> Vec<usize> {
    let all = world.nodes.len();
    match random.random_range(0..5) {
        0 => vec![random.random_range(0..all)],
        1 => {
            let mut nodes: Vec<usize> = (0..all).collect();
            nodes.shuffle(random);
            nodes.truncate(all.div_ceil(3));
            nodes
        }
        2 => world.nodes_of_domain(random.random_range(0..2)),
        3 => world.watchers().into_iter().take(1).collect(),
        _ => world.watchers(),
    }
}

/// Injects one random fault and returns its name.
fn inject(world: &Rc<SimWorld>, random: &mut Pcg64, nodes: &[usize], time: Duration) -> String {
    match random.random_range(0..13) {
        0 => {
            for number in nodes.iter().copied() {
                world.disturb(Some(number), time);
                world.kill(number);
                world.after(time, move |world| world.spawn(number));
            }
            "killed".to_owned()
        }
        1 => {
            for number in nodes.iter().copied() {
                world.disturb(Some(number), time);
                world.set_frozen(number, true);
                world.after(time, move |world| world.set_frozen(number, false));
            }
            "frozen".to_owned()
        }
        2..=4 => {
            let failures = [
                StoreFailure::Silent,
                StoreFailure::Busy,
                StoreFailure::Reset,
            ];
            let failure = failures[random.random_range(0..failures.len())];
            for number in nodes {
                world.fail_store(*number, failure, time);
            }
            format!("calls of the store fail: {failure:?}")
        }
        5 => {
            let ways = [(true, true), (true, false), (false, true)];
            let (to_store, to_node) = ways[random.random_range(0..ways.len())];
            for number in nodes.iter().copied() {
                world.disturb(Some(number), time);
                let (node, store) = (SimPlace::Node(number), SimPlace::Store);
                if to_store {
                    world.cut(node, store, time);
                }
                if to_node {
                    world.cut(store, node, time);
                }
            }
            format!("cut from the store: to it {to_store}, from it {to_node}")
        }
        6 | 7 => {
            let ways = [(true, true), (true, false), (false, true)];
            let (out, back) = ways[random.random_range(0..ways.len())];
            for number in nodes.iter().copied() {
                for other in (0..world.nodes.len()).filter(|other| !nodes.contains(other)) {
                    let (node, other) = (SimPlace::Node(number), SimPlace::Node(other));
                    if out {
                        world.cut(node, other, time);
                    }
                    if back {
                        world.cut(other, node, time);
                    }
                }
            }
            format!("cut from the other nodes: to them {out}, from them {back}")
        }
        8 => {
            world.disturb(None, time);
            let faults = [
                StoreFault::Busy,
                StoreFault::Silent,
                StoreFault::Slow(Duration::from_millis(300)),
            ];
            let fault = faults[random.random_range(0..faults.len())];
            if fault == StoreFault::Silent {
                world.lose_calls(SimPlace::Store);
            }
            world.store.set_fault(fault);
            world.is_store_away.set(true);
            world.after(time, |world| {
                world.store.set_fault(StoreFault::None);
                world.is_store_away.set(false);
            });
            format!("the store is {fault:?}")
        }
        9 => {
            world.disturb(None, time);
            world.links.borrow_mut().lost_answers = 0.35;
            world.after(time, |world| world.links.borrow_mut().lost_answers = 0.0);
            "the store loses answers".to_owned()
        }
        10 => {
            world.disturb(None, Duration::ZERO);
            world.store.forget_history();
            let call_break = [CallBreak::Closed, CallBreak::Lost][random.random_range(0..2)];
            for number in 0..world.nodes.len() {
                world.break_calls(number, call_break);
            }
            format!("the store drops its history, and its watches: {call_break:?}")
        }
        11 => {
            for number in nodes {
                world.disturb(Some(*number), Duration::ZERO);
                world.break_calls(*number, CallBreak::Lost);
            }
            "waiting calls of the store are lost".to_owned()
        }
        _ => {
            for number in nodes.iter().copied() {
                world.disturb(Some(number), time);
                let is_thin = random.random_bool(0.5);
                let mut links = world.links.borrow_mut();
                if is_thin {
                    links.thin.insert(number, 8e3);
                } else {
                    links.lossy.insert(number, 0.4);
                }
                drop(links);
                world.after(time, move |world| {
                    let mut links = world.links.borrow_mut();
                    links.thin.shift_remove(&number);
                    links.lossy.shift_remove(&number);
                });
            }
            "links are thin or lossy".to_owned()
        }
    }
}
