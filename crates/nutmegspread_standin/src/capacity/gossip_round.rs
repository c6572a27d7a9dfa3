//! Heartbeats of one cell, exchanged without a network.

use super::CapacityError;
use super::wire_codec::encode;
use nutmegspread_model::{MonotonicTime, NodeRecord};
use nutmegspread_policy::fleet::{
    FleetAction, FleetInput, FleetPolicy, FleetSettings, GossipMessage,
};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Virtual time before measuring, so that the roster is agreed.
const SETTLE_TIME: Duration = Duration::from_secs(20);
/// Virtual time that is measured.
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Step of the virtual clock.
const TICK: Duration = Duration::from_millis(50);

/// Nodes of one cell and the messages on their way.
pub struct GossipRound {
    nodes: Vec<FleetPolicy>,
    records: Vec<NodeRecord>,
    messages: VecDeque<(usize, Box<GossipMessage>)>,
    wake_at: Vec<MonotonicTime>,
}

/// Cost of a node in a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipFigures {
    /// Bytes that a node sends a second.
    pub bytes_a_second: f64,
    /// Messages that a node sends a second.
    pub messages_a_second: f64,
    /// Processor time for its decisions, in microseconds a second.
    pub micros_a_second: f64,
}

#[derive(Default)]
struct RoundCount {
    messages: u64,
    bytes: u64,
    time: Duration,
}

impl GossipRound {
    /// Nodes that know each other from the platform's list.
    pub fn new(size: usize) -> Self {
        let records: Vec<NodeRecord> = (0..size).map(node_record).collect();
        let nodes = records
            .iter()
            .map(|record| FleetPolicy::new(settings(record), TICK));
        Self {
            nodes: nodes.collect(),
            wake_at: vec![MonotonicTime::ZERO; size],
            records,
            messages: VecDeque::new(),
        }
    }

    /// Runs the cell until it is settled and then measures.
    ///
    /// # Errors
    /// When a message cannot be encoded.
    pub fn measure(mut self) -> Result<GossipFigures, CapacityError> {
        let mut now = TICK;
        for node in 0..self.nodes.len() {
            let list = FleetInput::NodeList(self.records.clone());
            self.step(node, now, list, &mut RoundCount::default())?;
        }
        self.run(&mut now, SETTLE_TIME)?;
        let count = self.run(&mut now, MEASURED_TIME)?;
        let node_seconds = self.nodes.len() as f64 * MEASURED_TIME.as_secs_f64();
        Ok(GossipFigures {
            bytes_a_second: count.bytes as f64 / node_seconds,
            messages_a_second: count.messages as f64 / node_seconds,
            micros_a_second: count.time.as_secs_f64() * 1e6 / node_seconds,
        })
    }

    fn run(&mut self, now: &mut Duration, length: Duration) -> Result<RoundCount, CapacityError> {
        let mut count = RoundCount::default();
        let end = *now + length;
        while *now < end {
            *now += TICK;
            for node in 0..self.nodes.len() {
                if self.wake_at[node] <= *now {
                    self.step(node, *now, FleetInput::Tick, &mut count)?;
                }
            }
            while let Some((node, message)) = self.messages.pop_front() {
                self.step(node, *now, FleetInput::Message(message), &mut count)?;
            }
        }
        Ok(count)
    }

    fn step(
        &mut self,
        node: usize,
        now: MonotonicTime,
        input: FleetInput,
        count: &mut RoundCount,
    ) -> Result<(), CapacityError> {
        let start = Instant::now();
        let output = self.nodes[node].step(now, input);
        count.time += start.elapsed();
        self.wake_at[node] = output.wake_at;
        for action in output.actions {
            match action {
                FleetAction::Send {
                    address, message, ..
                } => {
                    count.messages += 1;
                    count.bytes += encode("heartbeat", &*message)?.len() as u64;
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

fn settings(record: &NodeRecord) -> FleetSettings {
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
