//! The ways of giving targets to nodes that are compared.

use super::{FleetSample, OwnershipPlan};
use nutmegspread_model::{rank_candidates, rendezvous_weight};
use nutmegspread_policy::fleet::{OwnerCandidate, choose_owners};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Largest load of a node under [`OwnershipScheme::BoundedRendezvous`], over the mean.
const LOAD_BOUND: f64 = 1.1;
/// Difference to the least loaded neighbour up to which a node keeps a target.
const CLIMB_THRESHOLD: usize = 1;
/// Neighbours on each side whose load a node knows.
const CLIMB_NEIGHBORS: usize = 4;
/// Longest way that a target is handed on.
const CLIMB_STEPS: usize = 10;
/// Weight in the hash for the choice of cells.
const CELL_PREFIX: &str = "cell";

/// How owners of a target are found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipScheme {
    /// The best of all nodes by rendezvous hashing.
    PlainRendezvous,
    /// Rendezvous hashing, passing over nodes that hold more than a bound over the mean.
    BoundedRendezvous,
    /// Starts at the best node and moves to less loaded neighbours while the difference is large.
    HillClimbing,
    /// The same, but owners are stored, and only those of lost nodes move.
    StoredClimbing,
    /// Drawn at random from a stored seed.
    RandomChoice,
    /// A cell by rendezvous hashing, then the best nodes of the cell.
    CellRendezvous,
    /// Consecutive targets go to consecutive cells, then the best nodes of the cell.
    CellBlocks,
}

impl OwnershipScheme {
    /// All schemes.
    pub const ALL: [Self; 7] = [
        Self::PlainRendezvous,
        Self::BoundedRendezvous,
        Self::HillClimbing,
        Self::StoredClimbing,
        Self::RandomChoice,
        Self::CellRendezvous,
        Self::CellBlocks,
    ];

    /// Name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::PlainRendezvous => "plain rendezvous",
            Self::BoundedRendezvous => "bounded rendezvous (1.1)",
            Self::HillClimbing => "hill-climbing (threshold 1)",
            Self::StoredClimbing => "hill-climbing, stored",
            Self::RandomChoice => "random",
            Self::CellRendezvous => "cell by rendezvous, then rendezvous",
            Self::CellBlocks => "cells by blocks of targets, then rendezvous",
        }
    }

    /// Owners of every target among the nodes for which `alive` is set.
    pub fn place(self, sample: &FleetSample, alive: &[bool], seed: u64) -> OwnershipPlan {
        match self {
            Self::PlainRendezvous => place_each(sample, alive, |target, nodes| {
                choose_owners(target, nodes, sample.owner_count)
                    .into_iter()
                    .cloned()
                    .collect()
            }),
            Self::BoundedRendezvous => place_bounded(sample, alive),
            Self::HillClimbing => place_climbing(sample, alive),
            Self::StoredClimbing => place_stored_climbing(sample, alive),
            Self::RandomChoice => place_random(sample, alive, seed),
            Self::CellRendezvous => place_in_cells(sample, alive, |target, _, cells| {
                best_cell(&sample.targets[target].0, cells)
            }),
            Self::CellBlocks => place_in_cells(sample, alive, |target, cell_count, cells| {
                let wanted = target * cell_count / sample.targets.len();
                let is_alive = cells.contains(&wanted);
                if is_alive {
                    Some(wanted)
                } else {
                    best_cell(&sample.targets[target].0, cells)
                }
            }),
        }
    }
}

fn alive_nodes(sample: &FleetSample, alive: &[bool]) -> Vec<OwnerCandidate> {
    let pairs = sample.nodes.iter().zip(alive);
    pairs
        .filter(|(_, alive)| **alive)
        .map(|(node, _)| node.clone())
        .collect()
}

fn place_each(
    sample: &FleetSample,
    alive: &[bool],
    mut choose: impl FnMut(&str, &[OwnerCandidate]) -> Vec<OwnerCandidate>,
) -> OwnershipPlan {
    let nodes = alive_nodes(sample, alive);
    let owners = sample
        .targets
        .iter()
        .map(|(target, _)| choose(target, &nodes));
    OwnershipPlan::from_owners(sample, owners)
}

fn place_bounded(sample: &FleetSample, alive: &[bool]) -> OwnershipPlan {
    let nodes = alive.iter().filter(|alive| **alive).count().max(1);
    let mean = (sample.targets.len() * sample.owner_count) as f64 / nodes as f64;
    let bound = (mean * LOAD_BOUND).ceil() as usize;
    let mut load = indexmap::IndexMap::new();
    place_each(sample, alive, |target, nodes| {
        let free: Vec<OwnerCandidate> = nodes
            .iter()
            .filter(|node| load.get(&node.node).copied().unwrap_or(0) < bound)
            .cloned()
            .collect();
        let owners: Vec<OwnerCandidate> = choose_owners(target, &free, sample.owner_count)
            .into_iter()
            .cloned()
            .collect();
        for owner in &owners {
            *load.entry(owner.node.clone()).or_insert(0) += 1;
        }
        owners
    })
}

/// Each owner starts at a rendezvous choice and moves along a ring of nodes to less load.
fn place_climbing(sample: &FleetSample, alive: &[bool]) -> OwnershipPlan {
    let ring: Vec<OwnerCandidate> = alive_nodes(sample, alive);
    let mut load = vec![0usize; ring.len()];
    place_each(sample, alive, |target, nodes| {
        let starts = choose_owners(target, nodes, sample.owner_count);
        let mut owners: Vec<usize> = Vec::new();
        for start in starts {
            let position = nodes.iter().position(|node| node == start).unwrap_or(0);
            let end = climb(position, &load, &owners);
            load[end] += 1;
            owners.push(end);
        }
        owners
            .into_iter()
            .map(|owner| nodes[owner].clone())
            .collect()
    })
}

/// Follows falling load until the least loaded neighbour is within the threshold.
fn climb(start: usize, load: &[usize], taken: &[usize]) -> usize {
    let mut position = start;
    for _ in 0..CLIMB_STEPS {
        let least = neighbors(position, load.len())
            .filter(|neighbor| !taken.contains(neighbor))
            .min_by_key(|neighbor| load[*neighbor]);
        match least {
            Some(least) if load[least].saturating_add(CLIMB_THRESHOLD) < load[position] => {
                position = least;
            }
            Some(least) if taken.contains(&position) => position = least,
            _ => break,
        }
    }
    position
}

fn neighbors(position: usize, count: usize) -> impl Iterator<Item = usize> {
    let reach = CLIMB_NEIGHBORS.min(count.saturating_sub(1) / 2);
    let after = (1..=reach).map(move |step| (position + step) % count);
    let before = (1..=reach).map(move |step| (position + count - step) % count);
    after.chain(before)
}

/// Draws nodes until enough of those drawn are alive, so that a loss moves nothing else.
fn place_random(sample: &FleetSample, alive: &[bool], seed: u64) -> OwnershipPlan {
    let count = alive
        .iter()
        .filter(|alive| **alive)
        .count()
        .min(sample.owner_count);
    let owners = sample.targets.iter().map(|(target, _)| {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ rendezvous_weight(target, "random"));
        let mut drawn: Vec<usize> = Vec::new();
        while drawn.len() < count {
            let node = random.random_range(0..sample.nodes.len());
            if alive[node] && !drawn.contains(&node) {
                drawn.push(node);
            }
        }
        drawn
            .into_iter()
            .map(|node| sample.nodes[node].clone())
            .collect()
    });
    OwnershipPlan::from_owners(sample, owners)
}

/// Keeps the owners that are left of an earlier climb and lets only the lost ones climb again.
fn place_stored_climbing(sample: &FleetSample, alive: &[bool]) -> OwnershipPlan {
    let all = vec![true; sample.nodes.len()];
    let mut plan = place_climbing(sample, &all);
    let mut load = plan.node_loads();
    for (node, alive) in alive.iter().enumerate() {
        if !alive {
            load[node] = usize::MAX;
        }
    }
    for owners in &mut plan.owners {
        for position in 0..owners.len() {
            if alive[owners[position]] {
                continue;
            }
            let end = climb(owners[position], &load, owners);
            let end = if alive[end] {
                end
            } else {
                least_loaded(&load, owners)
            };
            owners[position] = end;
            load[end] += 1;
        }
    }
    plan
}

fn least_loaded(load: &[usize], taken: &[usize]) -> usize {
    let free = (0..load.len()).filter(|node| !taken.contains(node));
    free.min_by_key(|node| load[*node]).unwrap_or(0)
}

fn place_in_cells(
    sample: &FleetSample,
    alive: &[bool],
    choose: impl Fn(usize, usize, &[usize]) -> Option<usize>,
) -> OwnershipPlan {
    let cell_count = sample.cell_count();
    let mut cells: Vec<Vec<OwnerCandidate>> = vec![Vec::new(); cell_count];
    for ((node, cell), alive) in sample.nodes.iter().zip(&sample.cells).zip(alive) {
        if *alive {
            cells[*cell].push(node.clone());
        }
    }
    let used: Vec<usize> = (0..cell_count)
        .filter(|cell| !cells[*cell].is_empty())
        .collect();
    let owners = (0..sample.targets.len()).map(|target| {
        let cell = choose(target, cell_count, &used);
        let nodes = cell.map_or(&[][..], |cell| &cells[cell]);
        let chosen = choose_owners(&sample.targets[target].0, nodes, sample.owner_count);
        chosen.into_iter().cloned().collect()
    });
    OwnershipPlan::from_owners(sample, owners)
}

fn best_cell(target: &str, cells: &[usize]) -> Option<usize> {
    let key = format!("{CELL_PREFIX}/{target}");
    let names: Vec<String> = cells.iter().map(ToString::to_string).collect();
    rank_candidates(&key, names)
        .first()
        .and_then(|name| name.parse().ok())
}
