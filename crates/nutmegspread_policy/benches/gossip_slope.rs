//! Measures the time until a configuration revision reaches every node, and the bytes that each
//! node sends, for several fleet sizes.
//!
//! The benchmark drives only the fleet policy, in virtual time. Nodes form cells of at most eight.
//! No node watches the platform, so a revision crosses from one cell to another only through
//! neighbours outside the cell.

#[path = "../tests/support/fleet_network.rs"]
#[allow(dead_code)]
mod fleet_network;

use fleet_network::message_size;
use nutmegspread_model::{MonotonicTime, NodeRecord, Revision, RosterRecord};
use nutmegspread_policy::fleet::{FleetAction, FleetInput, FleetPolicy, FleetSettings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// Numbers of nodes. All but the first are multiples of the cell size, so that a partly filled cell
/// does not distort the fitted slope.
const SIZES: [usize; 5] = [7, 24, 48, 104, 200];
const SEEDS: u64 = 3;
const CELL_SIZE: usize = 8;
/// Time for the nodes to learn of one another before anything is measured.
const WARM_UP: Duration = Duration::from_secs(12);
/// Time without a new revision in which the sent bytes are counted.
const BYTE_COUNT_TIME: Duration = Duration::from_secs(10);
/// Time after the start of a revision in which every message is lost, with that fault.
const INITIAL_LOSS_TIME: Duration = Duration::from_millis(100);
/// Time after which a revision that has not reached every node fails the run.
const TIME_LIMIT: Duration = Duration::from_secs(60);
const INCARNATION: u64 = 1_796_000_000_000;
/// Number of nodes for which the fitted time and bytes are printed.
const PLANNED_SIZE: f64 = 760.0;

/// A scheduled event; the first field is the index of its node.
enum Event {
    Input(usize, FleetInput),
    /// The node has applied a revision.
    Applied(usize, Revision),
    Tick(usize),
}

/// A fleet of policies, and the network between them, in virtual time.
struct GossipBench {
    now: MonotonicTime,
    policies: Vec<FleetPolicy>,
    wake_at: Vec<MonotonicTime>,
    revisions: Vec<Revision>,
    running: Vec<bool>,
    events: BTreeMap<(MonotonicTime, u64), Event>,
    /// Number of events scheduled so far, which orders events of the same time.
    event_count: u64,
    bytes: u64,
    json_bytes: u64,
    /// Probability that a message is lost, 0 to 1.
    loss: f64,
    /// Time until which every message is lost.
    lost_until: MonotonicTime,
    rng: SmallRng,
}

impl GossipBench {
    fn new(size: usize, loss: f64, seed: u64) -> Self {
        let cells = size.div_ceil(CELL_SIZE);
        let records: Vec<NodeRecord> = (0..size).map(|index| record(index, cells)).collect();
        let mut bench = Self {
            now: Duration::ZERO,
            policies: Vec::new(),
            wake_at: vec![Duration::ZERO; size],
            revisions: vec![0; size],
            running: vec![true; size],
            events: BTreeMap::new(),
            event_count: 0,
            bytes: 0,
            json_bytes: 0,
            loss,
            lost_until: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        };
        for (index, own) in records.iter().enumerate() {
            let settings = FleetSettings {
                node: own.node.clone(),
                domain: own.domain.clone(),
                cell: own.cell.clone(),
                peer_address: own.peer_address.clone(),
                incarnation: INCARNATION + seed,
                ..Default::default()
            };
            bench
                .policies
                .push(FleetPolicy::new(settings, Duration::ZERO));
            let nodes = records
                .iter()
                .filter(|record| record.cell == own.cell)
                .cloned();
            let roster = RosterRecord {
                version: 1,
                nodes: nodes.collect(),
                previous: Vec::new(),
            };
            bench.schedule(
                Duration::ZERO,
                Event::Input(index, FleetInput::Roster(roster)),
            );
            bench.schedule(
                Duration::ZERO,
                Event::Input(index, FleetInput::NodeList(records.clone())),
            );
            let offset = Duration::from_millis(bench.rng.random_range(0..600));
            bench.schedule(offset, Event::Tick(index));
        }
        bench
    }

    fn schedule(&mut self, at: MonotonicTime, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn run_until(&mut self, end: MonotonicTime, done: impl Fn(&Self) -> bool) {
        while !done(self) {
            let Some((&(at, key), _)) = self.events.first_key_value() else {
                break;
            };
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&(at, key)) {
                self.run_event(event);
            }
        }
    }

    fn run_event(&mut self, event: Event) {
        let (index, input) = match event {
            Event::Input(index, input) => (index, input),
            Event::Tick(index) => (index, FleetInput::Tick),
            Event::Applied(index, revision) => {
                self.revisions[index] = self.revisions[index].max(revision);
                let revision = self.revisions[index];
                (
                    index,
                    FleetInput::ConfigurationRevision {
                        revision,
                        confirmed_at: None,
                    },
                )
            }
        };
        if !self.running[index] {
            return;
        }
        let is_tick = matches!(input, FleetInput::Tick);
        let output = self.policies[index].step(self.now, input);
        if is_tick || output.wake_at < self.wake_at[index] {
            self.wake_at[index] = output.wake_at;
            self.schedule(output.wake_at, Event::Tick(index));
        }
        for action in output.actions {
            self.run_action(index, action);
        }
    }

    fn run_action(&mut self, from: usize, action: FleetAction) {
        match action {
            FleetAction::Send { node, message, .. } => {
                self.bytes += message_size(&message);
                self.json_bytes += serde_json::to_vec(&message).map_or(0, |body| body.len() as u64);
                let to: usize = node[5..]
                    .parse()
                    .expect("a node's name ends with its index");
                if self.now >= self.lost_until && !self.rng.random_bool(self.loss) {
                    let at = self.now + Duration::from_micros(self.rng.random_range(500..2000));
                    self.schedule(at, Event::Input(to, FleetInput::Message(message)));
                }
            }
            FleetAction::PeerRevision { revision, .. } if revision > self.revisions[from] => {
                let fetch = Duration::from_micros(self.rng.random_range(2000..6000));
                self.schedule(self.now + fetch, Event::Applied(from, revision));
            }
            _ => {}
        }
    }

    fn has_reached_all(&self, revision: Revision) -> bool {
        let mut nodes = self.revisions.iter().zip(&self.running);
        nodes.all(|(known, running)| !running || *known >= revision)
    }
}

fn record(index: usize, cells: usize) -> NodeRecord {
    NodeRecord {
        node: format!("node-{index}").into(),
        domain: format!("domain-{}", index % 5).into(),
        cell: format!("cell-{}", index % cells),
        peer_address: format!("10.0.{}.{}:7400", index / 250, index % 250),
        ..Default::default()
    }
}

/// Result for one fleet size.
struct SlopePoint {
    size: usize,
    /// Time until the revision was on every node, of the slowest seed.
    seconds: f64,
    /// Bytes per second that a node sends in the compact encoding.
    bytes_per_second: f64,
    /// Bytes per second that a node would send in JSON.
    json_per_second: f64,
}

/// Fault during the spread of a revision.
#[derive(Clone, Copy, Default)]
struct BenchFault {
    /// Probability that a message is lost, 0 to 1.
    loss: f64,
    /// Whether one node stops when the revision starts.
    node_stops: bool,
    /// Whether every message is lost for a short time after the revision starts.
    initial_loss: bool,
}

fn measure(size: usize, fault: BenchFault) -> SlopePoint {
    let (mut slowest, mut bytes, mut json) = (0.0_f64, 0.0, 0.0);
    for seed in 0..SEEDS {
        let mut bench = GossipBench::new(size, fault.loss, seed);
        bench.run_until(WARM_UP, |_| false);
        (bench.bytes, bench.json_bytes) = (0, 0);
        bench.run_until(WARM_UP + BYTE_COUNT_TIME, |_| false);
        let node_seconds = size as f64 * BYTE_COUNT_TIME.as_secs_f64() * SEEDS as f64;
        bytes += bench.bytes as f64 / node_seconds;
        json += bench.json_bytes as f64 / node_seconds;
        let start = WARM_UP + BYTE_COUNT_TIME;
        bench.running[size / 2] = !fault.node_stops;
        if fault.initial_loss {
            bench.lost_until = start + INITIAL_LOSS_TIME;
        }
        bench.schedule(start, Event::Applied(0, 1));
        bench.run_until(start + TIME_LIMIT, |bench| bench.has_reached_all(1));
        assert!(
            bench.has_reached_all(1),
            "size {size}, seed {seed}: the revision did not reach every node"
        );
        slowest = slowest.max((bench.now - start).as_secs_f64());
    }
    SlopePoint {
        size,
        seconds: slowest,
        bytes_per_second: bytes,
        json_per_second: json,
    }
}

/// Fits `y = a + b x` to `(x, y)` points by least squares and returns `(a, b)`.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let sum_xy: f64 = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum();
    let slope = sum_xy / sum_xx;
    (mean_y - slope * mean_x, slope)
}

fn print_points(name: &str, points: &[SlopePoint]) {
    println!("{name}");
    println!(
        "  nodes  slowest of {SEEDS} seeds (s)  sent per node and second: compact, JSON (bytes)"
    );
    for point in points {
        println!(
            "  {:5}  {:24.3}  {:33.0}  {:12.0}",
            point.size, point.seconds, point.bytes_per_second, point.json_per_second
        );
    }
    let times: Vec<(f64, f64)> = points
        .iter()
        .map(|point| ((point.size as f64).ln(), point.seconds))
        .collect();
    let (base, slope) = fit_line(&times);
    let planned = base + slope * PLANNED_SIZE.ln();
    println!("  time = {base:.3} s + {slope:.4} s * ln(nodes); at 760: {planned:.3} s");
    print_byte_fit("compact", points, |point| point.bytes_per_second);
    print_byte_fit("JSON", points, |point| point.json_per_second);
}

fn print_byte_fit(name: &str, points: &[SlopePoint], bytes: impl Fn(&SlopePoint) -> f64) {
    let whole_cells = points.iter().filter(|point| point.size > CELL_SIZE);
    let points: Vec<(f64, f64)> = whole_cells
        .map(|point| ((point.size as f64).ln(), bytes(point)))
        .collect();
    let (base, slope) = fit_line(&points);
    let planned = base + slope * PLANNED_SIZE.ln();
    println!(
        "  {name} = {base:.0} + {slope:.1} * ln(nodes) from 24 nodes up; at 760: {planned:.0}"
    );
}

fn main() {
    let no_fault = BenchFault::default();
    for (name, fault) in [
        ("no fault", no_fault),
        (
            "one node stops as the revision starts",
            BenchFault {
                node_stops: true,
                ..no_fault
            },
        ),
        (
            "one message in ten lost",
            BenchFault {
                loss: 0.1,
                ..no_fault
            },
        ),
        (
            "every message of the first 100 ms lost",
            BenchFault {
                initial_loss: true,
                ..no_fault
            },
        ),
    ] {
        let points: Vec<SlopePoint> = SIZES.iter().map(|size| measure(*size, fault)).collect();
        print_points(name, &points);
    }
}
