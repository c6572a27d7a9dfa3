//! Injects random faults, which may overlap, and ends each of them after a while.

use crate::soak_world::{SHARD_SETS, STOP_GRACE, SoakWorld};
use nutmegspread_platform_standin::{ProxyFault, SearcherFault, SearcherWish, StoreFault};
use rand::Rng;
use rand_pcg::Pcg64;
use rustix::process::Signal;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Whether the affected node is told of a stop or a fault in advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpanKind {
    /// A stop that a signal asks the node for.
    Planned,
    /// A fault without notice.
    Unplanned,
}

/// Time span of a stop or a fault.
#[derive(Clone, Debug)]
pub struct FaultSpan {
    /// Name for the output, such as `kill`.
    pub name: &'static str,
    pub kind: SpanKind,
    /// Affected node; `None` if all nodes are affected.
    pub node: Option<IpAddr>,
    pub from: Instant,
    pub to: Instant,
}

/// Action that ends a fault or completes a drain.
enum UndoAction {
    /// Ends the fault of the store.
    Store,
    /// Ends the fault of the proxy between this node and the store.
    StoreProxy(usize),
    /// Ends the fault of this searcher.
    Searcher(String),
    /// Ends the fault of the proxy before this searcher.
    SearcherProxy(String),
    /// Ends the wish of this searcher.
    SearcherWish(String),
    /// Resumes the paused process of this node.
    Resume(usize),
    /// Removes this drained searcher.
    Remove(String),
    /// Starts a process for this node again.
    Spawn(usize),
}

/// Injects random faults, ends them and records their time spans.
#[derive(Default)]
pub struct FaultDriver {
    /// Stops and faults so far.
    pub spans: Vec<FaultSpan>,
    /// Nodes that received SIGTERM, and when.
    pub stops: Vec<(IpAddr, Instant)>,
    /// Searchers whose drain was written to the store, and when.
    pub drains: Vec<(String, Instant)>,
    /// Searchers whose connections a proxy disturbed, and from when to when.
    pub cuts: Vec<(String, Instant, Instant)>,
    /// A line for each node process that ended wrongly.
    pub broken_promises: Vec<String>,
    /// Actions that are still to be run, and when they are due.
    undo_actions: Vec<(Instant, UndoAction)>,
    /// Nodes that the driver has stopped, killed or paused.
    unavailable_nodes: Vec<usize>,
    /// Nodes that have received SIGTERM and not ended yet, and when they received it.
    stopping_nodes: Vec<(usize, Instant)>,
}

impl FaultDriver {
    /// Injects faults at random times for `fault_time`.
    pub async fn run(&mut self, world: &mut SoakWorld, random: &mut Pcg64, fault_time: Duration) {
        let end = Instant::now() + fault_time;
        let mut next = Instant::now();
        while Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.run_due_actions(world, Instant::now());
            self.check_exits(world);
            if Instant::now() >= next {
                self.inject(world, random).await;
                next = Instant::now() + Duration::from_millis(random.random_range(80..700));
            }
        }
    }

    /// Ends all faults as they become due and waits until all nodes run.
    pub async fn settle(&mut self, world: &mut SoakWorld) {
        while !self.undo_actions.is_empty() || !self.stopping_nodes.is_empty() {
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.run_due_actions(world, Instant::now());
            self.check_exits(world);
        }
    }

    /// Injects one random fault, stop, drain or configuration change, if it is possible now.
    async fn inject(&mut self, world: &mut SoakWorld, random: &mut Pcg64) {
        let duration = Duration::from_millis(random.random_range(200..1800));
        let node = random.random_range(0..world.nodes.len());
        let can_disrupt_node = !self.unavailable_nodes.contains(&node)
            && self.unavailable_nodes.len() + 1 < world.nodes.len();
        let searcher = random.random_range(0..world.searchers.len());
        let searcher = world
            .searchers
            .get_index(searcher)
            .map(|(id, _)| id.clone());
        let Some(searcher) = searcher else { return };
        let address = world.nodes[node].address;
        match random.random_range(0..18) {
            0 | 1 if can_disrupt_node && world.has_started(node) => {
                self.unavailable_nodes.push(node);
                world.signal(node, Signal::TERM);
                self.stops.push((address, Instant::now()));
                self.stopping_nodes.push((node, Instant::now()));
                self.record_span("stop", SpanKind::Planned, Some(address), STOP_GRACE);
            }
            2 if can_disrupt_node => {
                self.unavailable_nodes.push(node);
                world.signal(node, Signal::KILL);
                self.record_span("kill", SpanKind::Unplanned, Some(address), duration);
                self.schedule_undo(duration, UndoAction::Spawn(node));
            }
            3 if can_disrupt_node => {
                self.unavailable_nodes.push(node);
                world.signal(node, Signal::STOP);
                self.record_span("pause", SpanKind::Unplanned, Some(address), duration);
                self.schedule_undo(duration, UndoAction::Resume(node));
            }
            4 if world.has_started(node) => world.signal(node, Signal::HUP),
            5 => {
                let slow_store =
                    StoreFault::Slow(Duration::from_millis(random.random_range(50..600)));
                let fault =
                    [StoreFault::Busy, StoreFault::Silent, slow_store][random.random_range(0..3)];
                world.store.set_fault(fault);
                self.record_span("store", SpanKind::Unplanned, None, duration);
                self.schedule_undo(duration, UndoAction::Store);
            }
            6 => {
                let fault = [ProxyFault::Silent, ProxyFault::OneWay, ProxyFault::Reset]
                    [random.random_range(0..3)];
                world.nodes[node].store_proxy.set_fault(fault);
                self.record_span("store proxy", SpanKind::Unplanned, Some(address), duration);
                self.schedule_undo(duration, UndoAction::StoreProxy(node));
            }
            7 => world.store.forget_history(),
            8 => {
                let fault = [
                    SearcherFault::Slow(20),
                    SearcherFault::Hang,
                    SearcherFault::Shed,
                    SearcherFault::Fail,
                ][random.random_range(0..4)];
                world.searchers[&searcher].searcher.set_fault(fault);
                self.schedule_undo(duration, UndoAction::Searcher(searcher));
            }
            9 | 10 => {
                let delay = ProxyFault::Delay(Duration::from_millis(random.random_range(10..90)));
                let fault = [
                    ProxyFault::Silent,
                    ProxyFault::OneWay,
                    ProxyFault::Reset,
                    delay,
                ][random.random_range(0..4)];
                world.searchers[&searcher].proxy.set_fault(fault);
                let now = Instant::now();
                self.cuts.push((searcher.clone(), now, now + duration));
                self.schedule_undo(duration, UndoAction::SearcherProxy(searcher));
            }
            11 | 12 => {
                // A new searcher is added first, so that each shard keeps two.
                let drained_searcher = &world.searchers[&searcher];
                let (settings, proxy) = (
                    drained_searcher.settings.clone(),
                    drained_searcher.proxy.address(),
                );
                if self.drains.iter().any(|(id, _)| *id == searcher) {
                    return;
                }
                world
                    .add_searcher(&settings.service, &settings.domain)
                    .await;
                world.store.drain(&searcher, &settings, proxy);
                self.drains.push((searcher.clone(), Instant::now()));
                self.schedule_undo(Duration::from_millis(4500), UndoAction::Remove(searcher));
            }
            13 | 14 => {
                world.publish_configuration(random.random_range(0..SHARD_SETS.len()));
            }
            15 | 16 => {
                let pause = Duration::from_millis(random.random_range(100..2500));
                let wish = SearcherWish::Pause(pause);
                world.searchers[&searcher].searcher.set_wish(wish);
                self.schedule_undo(duration, UndoAction::SearcherWish(searcher));
            }
            17 => {
                // A new searcher is added first, so that each shard keeps two.
                let settings = world.searchers[&searcher].settings.clone();
                if self.drains.iter().any(|(id, _)| *id == searcher) {
                    return;
                }
                world
                    .add_searcher(&settings.service, &settings.domain)
                    .await;
                world.searchers[&searcher]
                    .searcher
                    .set_wish(SearcherWish::Leave);
                self.schedule_undo(Duration::from_secs(6), UndoAction::Remove(searcher));
            }
            _ => {}
        }
    }

    /// Restarts nodes that have stopped as planned, and records processes that ended wrongly.
    fn check_exits(&mut self, world: &mut SoakWorld) {
        for number in 0..world.nodes.len() {
            let Some(status) = world.take_exit_status(number) else {
                continue;
            };
            match self
                .stopping_nodes
                .iter()
                .position(|(node, _)| *node == number)
            {
                Some(index) => {
                    let (_, since) = self.stopping_nodes.remove(index);
                    if !status.success() || since.elapsed() > STOP_GRACE + Duration::from_secs(1) {
                        let stop_time = since.elapsed();
                        self.broken_promises.push(format!(
                            "node {number} ended {stop_time:?} after SIGTERM with {status}"
                        ));
                    }
                    world.spawn(number);
                    self.unavailable_nodes.retain(|node| *node != number);
                }
                // `UndoAction::Spawn` restarts a killed node.
                None if self.unavailable_nodes.contains(&number) => {}
                None => self.broken_promises.push(format!(
                    "node {number} ended without a signal from the soak: {status}"
                )),
            }
        }
    }

    /// Runs the undo actions that are due.
    fn run_due_actions(&mut self, world: &mut SoakWorld, now: Instant) {
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.undo_actions)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.undo_actions = rest;
        for (_, action) in due {
            match action {
                UndoAction::Store => world.store.set_fault(StoreFault::None),
                UndoAction::StoreProxy(node) => {
                    world.nodes[node].store_proxy.set_fault(ProxyFault::None);
                }
                UndoAction::Searcher(id) => {
                    if let Some(searcher) = world.searchers.get(&id) {
                        searcher.searcher.set_fault(SearcherFault::None);
                    }
                }
                UndoAction::SearcherProxy(id) => {
                    if let Some(searcher) = world.searchers.get(&id) {
                        searcher.proxy.set_fault(ProxyFault::None);
                    }
                }
                UndoAction::SearcherWish(id) => {
                    if let Some(searcher) = world.searchers.get(&id) {
                        searcher.searcher.set_wish(SearcherWish::None);
                    }
                }
                UndoAction::Resume(node) => {
                    world.signal(node, Signal::CONT);
                    self.unavailable_nodes
                        .retain(|unavailable| *unavailable != node);
                }
                UndoAction::Remove(id) => {
                    world.store.deregister(&id);
                    if let Some(searcher) = world.searchers.shift_remove(&id) {
                        searcher.proxy.close();
                        searcher.searcher.close();
                    }
                }
                UndoAction::Spawn(node) => {
                    world.spawn(node);
                    self.unavailable_nodes
                        .retain(|unavailable| *unavailable != node);
                }
            }
        }
    }

    /// Schedules an undo action.
    fn schedule_undo(&mut self, after: Duration, action: UndoAction) {
        self.undo_actions.push((Instant::now() + after, action));
    }

    /// Records a stop or a fault that starts now.
    fn record_span(
        &mut self,
        name: &'static str,
        kind: SpanKind,
        node: Option<IpAddr>,
        duration: Duration,
    ) {
        let from = Instant::now();
        self.spans.push(FaultSpan {
            name,
            kind,
            node,
            from,
            to: from + duration,
        });
    }
}
