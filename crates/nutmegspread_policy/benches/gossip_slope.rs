//! Time until a revision is on every node, and bytes that each node sends, over fleet sizes.
//!
//! Drives the fleet policy alone in virtual time. Nodes form cells of at most eight; revisions
//! cross cells through the neighbours outside the cell only, without any watch of the platform.

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

/// Above the first, whole cells only, so that the cell size does not bend the slope.
const SIZES: [usize; 5] = [7, 24, 48, 104, 200];
const SEEDS: u64 = 3;
const CELL_SIZE: usize = 8;
const WARM_UP: Duration = Duration::from_secs(12);
const QUIET: Duration = Duration::from_secs(10);
const PUSH_LOST_FOR: Duration = Duration::from_millis(100);
const LIMIT: Duration = Duration::from_secs(60);
const INCARNATION: u64 = 1_796_000_000_000;
const PLANNED_SIZE: f64 = 760.0;

enum Event {
    Input(usize, FleetInput),
    Applied(usize, Revision),
    Tick(usize),
}

struct GossipBench {
    now: MonotonicTime,
    policies: Vec<FleetPolicy>,
    wake_at: Vec<MonotonicTime>,
    revisions: Vec<Revision>,
    running: Vec<bool>,
    events: BTreeMap<(MonotonicTime, u64), Event>,
    count: u64,
    bytes: u64,
    json_bytes: u64,
    loss: f64,
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
            count: 0,
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
            bench.push(
                Duration::ZERO,
                Event::Input(index, FleetInput::Roster(roster)),
            );
            bench.push(
                Duration::ZERO,
                Event::Input(index, FleetInput::NodeList(records.clone())),
            );
            let offset = Duration::from_millis(bench.rng.random_range(0..600));
            bench.push(offset, Event::Tick(index));
        }
        bench
    }

    fn push(&mut self, at: MonotonicTime, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
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
                self.run(event);
            }
        }
    }

    fn run(&mut self, event: Event) {
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
            self.push(output.wake_at, Event::Tick(index));
        }
        for action in output.actions {
            self.act(index, action);
        }
    }

    fn act(&mut self, from: usize, action: FleetAction) {
        match action {
            FleetAction::Send { node, message, .. } => {
                self.bytes += message_size(&message);
                self.json_bytes += serde_json::to_vec(&message).map_or(0, |body| body.len() as u64);
                let to: usize = node[5..].parse().expect("a node is named by its index");
                if self.now >= self.lost_until && !self.rng.random_bool(self.loss) {
                    let at = self.now + Duration::from_micros(self.rng.random_range(500..2000));
                    self.push(at, Event::Input(to, FleetInput::Message(message)));
                }
            }
            FleetAction::ConfigurationDigest { revision, .. }
                if revision > self.revisions[from] =>
            {
                let fetch = Duration::from_micros(self.rng.random_range(2000..6000));
                self.push(self.now + fetch, Event::Applied(from, revision));
            }
            _ => {}
        }
    }

    fn is_everywhere(&self, revision: Revision) -> bool {
        let mut nodes = self.revisions.iter().zip(&self.running);
        nodes.all(|(held, running)| !running || *held >= revision)
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

struct SlopePoint {
    size: usize,
    seconds: f64,
    bytes_per_second: f64,
    json_per_second: f64,
}

#[derive(Clone, Copy, Default)]
struct BenchFault {
    loss: f64,
    node_stops: bool,
    push_lost: bool,
}

fn measure(size: usize, fault: BenchFault) -> SlopePoint {
    let (mut slowest, mut bytes, mut json) = (0.0_f64, 0.0, 0.0);
    for seed in 0..SEEDS {
        let mut bench = GossipBench::new(size, fault.loss, seed);
        bench.run_until(WARM_UP, |_| false);
        (bench.bytes, bench.json_bytes) = (0, 0);
        bench.run_until(WARM_UP + QUIET, |_| false);
        let share = size as f64 * QUIET.as_secs_f64() * SEEDS as f64;
        bytes += bench.bytes as f64 / share;
        json += bench.json_bytes as f64 / share;
        let start = WARM_UP + QUIET;
        bench.running[size / 2] = !fault.node_stops;
        if fault.push_lost {
            bench.lost_until = start + PUSH_LOST_FOR;
        }
        bench.push(start, Event::Applied(0, 1));
        bench.run_until(start + LIMIT, |bench| bench.is_everywhere(1));
        assert!(
            bench.is_everywhere(1),
            "size {size}, seed {seed}: not everywhere"
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

/// Least squares of `y = a + b x`.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let common: f64 = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum();
    let slope = common / spread;
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
    let (base, slope) = fit(&times);
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
    let (base, slope) = fit(&points);
    let planned = base + slope * PLANNED_SIZE.ln();
    println!(
        "  {name} = {base:.0} + {slope:.1} * ln(nodes) from 24 nodes up; at 760: {planned:.0}"
    );
}

fn main() {
    let whole = BenchFault::default();
    for (name, fault) in [
        ("no fault", whole),
        (
            "one node stops as the revision starts",
            BenchFault {
                node_stops: true,
                ..whole
            },
        ),
        ("one message in ten lost", BenchFault { loss: 0.1, ..whole }),
        (
            "every message of the first 100 ms lost",
            BenchFault {
                push_lost: true,
                ..whole
            },
        ),
    ] {
        let points: Vec<SlopePoint> = SIZES.iter().map(|size| measure(*size, fault)).collect();
        print_points(name, &points);
    }
}
