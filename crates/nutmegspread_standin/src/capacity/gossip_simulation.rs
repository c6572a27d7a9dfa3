//! Simulates the nodes of one cell, which exchange heartbeats without a network.

use super::CapacityError;
use super::wire_codec::encode;
use nutmegspread_model::{MonotonicTime, NodeRecord};
use nutmegspread_policy::fleet::{
    FleetAction, FleetInput, FleetPolicy, FleetSettings, GossipMessage,
};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Virtual time before the measurement, in which the nodes agree on the roster.
const SETTLING_TIME: Duration = Duration::from_secs(20);
/// Virtual time over which the cost is measured.
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Time by which each step advances the virtual clock.
const TICK: Duration = Duration::from_millis(50);

/// The nodes of one cell and the messages that are sent but not yet received.
pub struct GossipSimulation {
    nodes: Vec<FleetPolicy>,
    records: Vec<NodeRecord>,
    messages: VecDeque<(usize, Box<GossipMessage>)>,
    wake_at: Vec<MonotonicTime>,
}

/// Mean cost of heartbeats for one node of a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipCost {
    /// Bytes of messages that a node sends per second.
    pub bytes_per_second: f64,
    /// Number of messages that a node sends per second.
    pub messages_per_second: f64,
    /// Time that a node spends in [`FleetPolicy::step`], in microseconds per second.
    pub micros_per_second: f64,
}

/// Messages sent by all nodes and the time spent in [`FleetPolicy::step`].
#[derive(Default)]
struct MessageTotals {
    messages: u64,
    bytes: u64,
    time: Duration,
}

impl GossipSimulation {
    /// Creates a cell of `size` nodes.
    pub fn new(size: usize) -> Self {
        let records: Vec<NodeRecord> = (0..size).map(node_record).collect();
        let nodes = records
            .iter()
            .map(|record| FleetPolicy::new(fleet_settings(record), TICK));
        Self {
            nodes: nodes.collect(),
            wake_at: vec![MonotonicTime::ZERO; size],
            records,
            messages: VecDeque::new(),
        }
    }

    /// Gives each node the list of all nodes, waits for a roster and then measures the cost.
    ///
    /// # Errors
    /// When a message cannot be encoded.
    pub fn measure(mut self) -> Result<GossipCost, CapacityError> {
        let mut now = TICK;
        for node in 0..self.nodes.len() {
            let list = FleetInput::NodeList(self.records.clone());
            self.step(node, now, list, &mut MessageTotals::default())?;
        }
        self.run(&mut now, SETTLING_TIME)?;
        let totals = self.run(&mut now, MEASURED_TIME)?;
        let node_seconds = self.nodes.len() as f64 * MEASURED_TIME.as_secs_f64();
        Ok(GossipCost {
            bytes_per_second: totals.bytes as f64 / node_seconds,
            messages_per_second: totals.messages as f64 / node_seconds,
            micros_per_second: totals.time.as_secs_f64() * 1e6 / node_seconds,
        })
    }

    fn run(
        &mut self,
        now: &mut Duration,
        duration: Duration,
    ) -> Result<MessageTotals, CapacityError> {
        let mut totals = MessageTotals::default();
        let end = *now + duration;
        while *now < end {
            *now += TICK;
            for node in 0..self.nodes.len() {
                if self.wake_at[node] <= *now {
                    self.step(node, *now, FleetInput::Tick, &mut totals)?;
                }
            }
            while let Some((node, message)) = self.messages.pop_front() {
                self.step(node, *now, FleetInput::Message(message), &mut totals)?;
            }
        }
        Ok(totals)
    }

    fn step(
        &mut self,
        node: usize,
        now: MonotonicTime,
        input: FleetInput,
        totals: &mut MessageTotals,
    ) -> Result<(), CapacityError> {
        let start = Instant::now();
        let output = self.nodes[node].step(now, input);
        totals.time += start.elapsed();
        self.wake_at[node] = output.wake_at;
        for action in output.actions {
            match action {
                FleetAction::Send {
                    address, message, ..
                } => {
                    totals.messages += 1;
                    totals.bytes += encode("heartbeat", &*message)?.len() as u64;
                    self.deliver(&address, message);
                }
                FleetAction::ProposeRoster(roster) => {
                    for receiver in 0..self.nodes.len() {
                        let input = FleetInput::Roster(roster.clone());
                        self.wake_at[receiver] = self.nodes[receiver].step(now, input).wake_at;
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn deliver(&mut self, address: &str, message: Box<GossipMessage>) {
        let receiver = self
            .records
            .iter()
            .position(|record| record.peer_address == address);
        if let Some(receiver) = receiver {
            self.messages.push_back((receiver, message));
        }
    }
}

fn node_record(number: usize) -> NodeRecord {
    NodeRecord {
        node: format!("node-{number:03}").into(),
        domain: format!("domain-{}", number % 5).into(),
        cell: "cell-1".into(),
        caller_address: format!("10.1.0.{}:8000", number + 1),
        peer_address: format!("10.1.0.{}:8001", number + 1),
        incarnation: 1,
        leaving: false,
    }
}

fn fleet_settings(record: &NodeRecord) -> FleetSettings {
    FleetSettings {
        node: record.node.clone(),
        domain: record.domain.clone(),
        cell: record.cell.clone(),
        caller_address: record.caller_address.clone(),
        peer_address: record.peer_address.clone(),
        incarnation: record.incarnation,
        ..Default::default()
    }
}
