//! Simulates several fleet policies and the delivery of their messages in virtual time.

use indexmap::IndexMap;
use nutmegspread_model::{MonotonicTime, NodeId, NodeRecord, RosterRecord, TargetLimits};
use nutmegspread_policy::fleet::{
    FleetAction, FleetInput, FleetPolicy, FleetSettings, GossipMessage,
};
use nutmegspread_policy::routing::TargetShare;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// Faults of the links between nodes.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    /// Links that lose all messages, as sender and receiver.
    pub cuts: Vec<(usize, usize)>,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is delivered twice.
    pub duplicates: f64,
    /// Maximum delay of a message.
    pub longest_delay: Duration,
}

/// An input or a tick for a node, with the process start for which it is meant.
enum Event {
    Input(usize, u64, FleetInput),
    Tick(usize, u64),
}

/// One simulated node.
pub struct NetworkNode {
    /// Policy of the node; `None` while the node is stopped.
    pub policy: Option<FleetPolicy>,
    /// Time until which the node processes no events.
    pub paused_until: MonotonicTime,
    /// Number of process starts of the node.
    pub starts: u64,
    /// Time of the node's next tick.
    pub wake_at: MonotonicTime,
    /// Number of streams that the node has replaced.
    pub replaced_streams: usize,
}

/// Nodes, messages in flight, and the platform's list of nodes and roster.
pub struct FleetNetwork {
    pub now: MonotonicTime,
    pub nodes: Vec<NetworkNode>,
    pub faults: LinkFaults,
    /// Whether no node can reach the platform.
    pub platform_down: bool,
    /// Nodes that cannot reach the platform.
    pub platform_cuts: Vec<usize>,
    /// Whether each node is in the platform's list.
    pub listed: Vec<bool>,
    /// Roster that the platform stores.
    pub stored: RosterRecord,
    /// Settings common to all nodes.
    pub settings: FleetSettings,
    /// Number of failure domains, to which nodes are assigned in turn.
    pub domains: usize,
    /// Number of bytes sent, including lost messages.
    pub bytes: u64,
    events: BTreeMap<(MonotonicTime, u64), Event>,
    count: u64,
    next_list: MonotonicTime,
    rng: SmallRng,
}

impl FleetNetwork {
    /// Creates a network of nodes that have just started, and a roster of all of them.
    pub fn new(size: usize, settings: FleetSettings, seed: u64) -> Self {
        let mut network = Self::stopped(size, settings, seed);
        network.stored = network.roster(1, &(0..size).collect::<Vec<_>>());
        (0..size).for_each(|index| network.start(index));
        network
    }

    /// Creates a network of nodes that are not running, and no roster.
    pub fn stopped(size: usize, settings: FleetSettings, seed: u64) -> Self {
        let mut network = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            faults: LinkFaults {
                longest_delay: Duration::from_millis(5),
                ..Default::default()
            },
            platform_down: false,
            platform_cuts: Vec::new(),
            listed: vec![true; size],
            stored: RosterRecord::default(),
            settings,
            domains: 4,
            bytes: 0,
            events: BTreeMap::new(),
            count: 0,
            next_list: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        };
        for _ in 0..size {
            network.nodes.push(NetworkNode {
                policy: None,
                paused_until: Duration::ZERO,
                starts: 0,
                wake_at: Duration::ZERO,
                replaced_streams: 0,
            });
        }
        network
    }

    pub fn name(index: usize) -> NodeId {
        format!("node-{index}").into()
    }

    pub fn roster(&self, version: u64, nodes: &[usize]) -> RosterRecord {
        let previous = self
            .stored
            .nodes
            .iter()
            .map(|record| record.node.clone())
            .collect();
        let nodes = nodes.iter().map(|index| self.record(*index)).collect();
        RosterRecord {
            version,
            nodes,
            previous,
        }
    }

    fn record(&self, index: usize) -> NodeRecord {
        NodeRecord {
            node: Self::name(index),
            domain: format!("domain-{}", index % self.domains).into(),
            cell: self.settings.cell.clone(),
            caller_address: format!("127.0.0.1:{}", 7000 + index),
            peer_address: format!("127.0.0.1:{}", 8000 + index),
            ..Default::default()
        }
    }

    /// Starts a node, or restarts it without its state.
    pub fn start(&mut self, index: usize) {
        let record = self.record(index);
        let node = &mut self.nodes[index];
        node.starts += 1;
        node.paused_until = Duration::ZERO;
        let settings = FleetSettings {
            node: record.node,
            domain: record.domain,
            caller_address: record.caller_address,
            peer_address: record.peer_address,
            incarnation: node.starts,
            ..self.settings.clone()
        };
        node.policy = Some(FleetPolicy::new(settings, self.now));
        let starts = node.starts;
        let offset = Duration::from_millis(self.rng.random_range(0..300));
        self.push(self.now + offset, Event::Tick(index, starts));
        self.deliver_platform_state(index);
    }

    pub fn stop(&mut self, index: usize) {
        self.nodes[index].policy = None;
    }

    pub fn input(&mut self, index: usize, input: FleetInput) {
        let starts = self.nodes[index].starts;
        self.push(self.now, Event::Input(index, starts, input));
    }

    /// Delays all events of a node until a time has passed.
    pub fn pause(&mut self, index: usize, duration: Duration) {
        self.nodes[index].paused_until = self.now + duration;
    }

    /// Runs all events up to `end` and calls `check` after each.
    pub fn run_until(&mut self, end: MonotonicTime, mut check: impl FnMut(&Self)) {
        while let Some((&(at, key), _)) = self.events.first_key_value() {
            let list_due = self.next_list <= at && self.next_list <= end;
            if list_due {
                self.now = self.next_list;
                self.next_list += Duration::from_secs(1);
                (0..self.nodes.len()).for_each(|index| self.deliver_platform_state(index));
                continue;
            }
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&(at, key)) {
                self.run(event);
                check(self);
            }
        }
        self.now = end;
    }

    pub fn run_for(&mut self, duration: Duration, check: impl FnMut(&Self)) {
        self.run_until(self.now + duration, check);
    }

    /// Share of a target that a node may use now; empty if the node is stopped or its shares have
    /// expired.
    pub fn share(&self, index: usize, target: &str, limits: &TargetLimits) -> TargetShare {
        let policy = self.nodes[index].policy.as_ref();
        let policy = policy.filter(|policy| self.now < policy.view().shares_valid_until);
        policy
            .map(|policy| policy.owners_of(target, limits).1)
            .unwrap_or_default()
    }

    pub fn policy(&self, index: usize) -> &FleetPolicy {
        self.nodes[index]
            .policy
            .as_ref()
            .expect("the node is not running")
    }

    /// Nodes, by index, whose view has settled.
    pub fn settled(&self) -> Vec<usize> {
        let policies = self.nodes.iter().map(|node| node.policy.as_ref());
        let settled = policies.map(|policy| policy.is_some_and(|policy| policy.view().settled));
        settled
            .enumerate()
            .filter(|(_, settled)| *settled)
            .map(|(index, _)| index)
            .collect()
    }

    fn push(&mut self, at: MonotonicTime, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    /// Sends a node the platform's list and roster if the node can reach the platform.
    fn deliver_platform_state(&mut self, index: usize) {
        if self.platform_down || self.platform_cuts.contains(&index) {
            return;
        }
        let listed = (0..self.nodes.len()).filter(|index| self.listed[*index]);
        let list = listed.map(|index| self.record(index)).collect();
        self.input(index, FleetInput::NodeList(list));
        self.input(index, FleetInput::Roster(self.stored.clone()));
    }

    fn run(&mut self, event: Event) {
        let (index, starts) = match &event {
            Event::Input(index, starts, _) | Event::Tick(index, starts) => (*index, *starts),
        };
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.starts != starts || node.policy.is_none() {
            return;
        }
        if now < node.paused_until {
            let resume = node.paused_until;
            self.push(resume, event);
            return;
        }
        let is_tick = matches!(event, Event::Tick(..));
        let input = match event {
            Event::Input(_, _, input) => input,
            Event::Tick(..) => FleetInput::Tick,
        };
        let Some(policy) = node.policy.as_mut() else {
            return;
        };
        let output = policy.step(now, input);
        if is_tick || output.wake_at < node.wake_at {
            node.wake_at = output.wake_at;
            self.push(output.wake_at.max(now), Event::Tick(index, starts));
        }
        for action in output.actions {
            self.run_action(index, action);
        }
    }

    fn run_action(&mut self, from: usize, action: FleetAction) {
        match action {
            FleetAction::Send { node, message, .. } => self.send(from, &node, &message),
            FleetAction::ReplaceStream { .. } => self.nodes[from].replaced_streams += 1,
            FleetAction::ProposeRoster(record) => {
                let reaches_platform = !self.platform_down && !self.platform_cuts.contains(&from);
                if reaches_platform && record.version == self.stored.version + 1 {
                    self.stored = record;
                }
            }
            FleetAction::PeerRevision { .. } => {}
        }
    }

    fn send(&mut self, from: usize, node: &NodeId, message: &GossipMessage) {
        self.bytes += message_size(message);
        let Some(to) = (0..self.nodes.len()).find(|index| Self::name(*index) == *node) else {
            return;
        };
        if self.faults.cuts.contains(&(from, to)) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.faults.duplicates) {
            2
        } else {
            1
        };
        let starts = self.nodes[to].starts;
        for _ in 0..copies {
            let longest = self.faults.longest_delay.as_micros() as u64;
            let delay = Duration::from_micros(self.rng.random_range(100..=longest.max(100)));
            let input = FleetInput::Message(Box::new(message.clone()));
            self.push(self.now + delay, Event::Input(to, starts, input));
        }
    }
}

/// Estimated size of an encoded message in bytes, with a variable-length integer encoding.
pub fn message_size(message: &GossipMessage) -> u64 {
    let reports = message.relayed.iter().chain([&message.report]);
    let reports = reports.map(|report| {
        let seen = report.seen.iter().map(|seen| {
            1 + seen.node.len() as u64
                + integer_size(seen.incarnation)
                + integer_size(seen.sequence)
                + 2
        });
        let numbers = [
            report.incarnation,
            report.sequence,
            report.view,
            report.view_epoch,
        ];
        let further_numbers = [
            report.roster_version,
            report.revision,
            report.confirmed_age_ms.unwrap_or(0),
        ];
        let numbers = numbers
            .iter()
            .chain(&further_numbers)
            .map(|number| integer_size(*number));
        1 + report.node.len() as u64 + 3 + numbers.sum::<u64>() + 1 + seen.sum::<u64>()
    });
    let roster = message
        .roster
        .as_ref()
        .map_or(0, |record| record.nodes.len() as u64 * 100);
    3 + message.address.len() as u64 + message.cell.len() as u64 + reports.sum::<u64>() + roster
}

fn integer_size(number: u64) -> u64 {
    match number {
        0..251 => 1,
        251..0x1_0000 => 3,
        0x1_0000..0x1_0000_0000 => 5,
        _ => 9,
    }
}

/// The shares of targets that nodes have recently used, from which follows the load that may
/// still be running.
#[derive(Default)]
pub struct LoadLedger {
    uses: IndexMap<(usize, String), Vec<(MonotonicTime, TargetShare)>>,
}

impl LoadLedger {
    /// Records the current shares of a target, and returns the sums over all nodes of the slots,
    /// connections and leaders that may be active, including work still in flight.
    pub fn sum(
        &mut self,
        network: &FleetNetwork,
        target: &str,
        limits: &TargetLimits,
    ) -> (u32, u32, u32) {
        let mut total = (0, 0, 0);
        for index in 0..network.nodes.len() {
            let share = network.share(index, target, limits);
            let uses = self.uses.entry((index, target.to_owned())).or_default();
            let horizon = network.now.saturating_sub(network.settings.longest_work);
            uses.retain(|(at, _)| *at > horizon);
            if let Some((end, _)) = uses.last_mut() {
                *end = network.now;
            }
            uses.push((network.now, share));
            total.0 += uses.iter().map(|(_, share)| share.slots).max().unwrap_or(0);
            total.1 += uses
                .iter()
                .map(|(_, share)| share.connections)
                .max()
                .unwrap_or(0);
            total.2 += u32::from(uses.iter().any(|(_, share)| share.leads));
        }
        total
    }
}
