//! The compared schemes of assigning targets to nodes.

use super::{FleetSample, OwnershipPlan};
use nutmegspread_model::{rank_candidates, rendezvous_weight};
use nutmegspread_policy::fleet::{OwnerCandidate, choose_owners};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Largest load of a node under [`OwnershipScheme::BoundedRendezvous`], as a multiple of the mean.
const LOAD_BOUND: f64 = 1.1;
/// Largest difference in load to the least loaded neighbour at which a node still keeps a target.
const CLIMB_THRESHOLD: usize = 1;
/// Number of neighbours on each side of the ring whose load a node knows.
const CLIMB_NEIGHBORS: usize = 4;
/// Largest number of times that a target moves on to another node.
const CLIMB_STEPS: usize = 10;
/// Prefix of the hash key when a cell is chosen, so that the choice of the cell is independent of
/// the choice of nodes in it.
const CELL_PREFIX: &str = "cell";

/// Method of choosing the owners of each target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipScheme {
    /// Chooses the highest-ranked of all nodes by rendezvous hashing.
    PlainRendezvous,
    /// Chooses by rendezvous hashing, but skips nodes whose load has reached a bound, a fixed
    /// multiple of the mean.
    BoundedRendezvous,
    /// Starts at the highest-ranked nodes and moves to less loaded neighbours on a ring of nodes
    /// while the difference in load is above a threshold.
    HillClimbing,
    /// Like [`Self::HillClimbing`], but stores the owners and replaces only lost ones.
    StoredClimbing,
    /// Draws the owners at random from a stored seed.
    RandomChoice,
    /// Chooses a cell by rendezvous hashing, then the highest-ranked nodes of the cell.
    CellRendezvous,
    /// Assigns each block of consecutive targets to one cell, then chooses the highest-ranked nodes
    /// of the cell. If the cell has no node left, another one is chosen by rendezvous hashing.
    CellBlocks,
}

impl OwnershipScheme {
    /// All schemes, in the order of the report.
    pub const ALL: [Self; 7] = [
        Self::PlainRendezvous,
        Self::BoundedRendezvous,
        Self::HillClimbing,
        Self::StoredClimbing,
        Self::RandomChoice,
        Self::CellRendezvous,
        Self::CellBlocks,
    ];

    /// Name of the scheme in the report.
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

    /// Chooses the owners of every target from the nodes for which `alive` is `true`.
    ///
    /// `alive` has one entry for each node of the fleet. `seed` matters only to
    /// [`Self::RandomChoice`].
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
                let block_cell = target * cell_count / sample.targets.len();
                let is_alive = cells.contains(&block_cell);
                if is_alive {
                    Some(block_cell)
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
    let alive_count = alive.iter().filter(|alive| **alive).count().max(1);
    let mean = (sample.targets.len() * sample.owner_count) as f64 / alive_count as f64;
    let bound = (mean * LOAD_BOUND).ceil() as usize;
    let mut load = indexmap::IndexMap::new();
    place_each(sample, alive, |target, nodes| {
        let below_bound: Vec<OwnerCandidate> = nodes
            .iter()
            .filter(|node| load.get(&node.node).copied().unwrap_or(0) < bound)
            .cloned()
            .collect();
        let owners: Vec<OwnerCandidate> = choose_owners(target, &below_bound, sample.owner_count)
            .into_iter()
            .cloned()
            .collect();
        for owner in &owners {
            *load.entry(owner.node.clone()).or_insert(0) += 1;
        }
        owners
    })
}

/// Chooses owners by rendezvous hashing and moves each choice along a ring to a less loaded node.
fn place_climbing(sample: &FleetSample, alive: &[bool]) -> OwnershipPlan {
    let ring: Vec<OwnerCandidate> = alive_nodes(sample, alive);
    let mut load = vec![0usize; ring.len()];
    place_each(sample, alive, |target, nodes| {
        let starts = choose_owners(target, nodes, sample.owner_count);
        let mut owners: Vec<usize> = Vec::new();
        for start in starts {
            let position = nodes.iter().position(|node| node == start).unwrap_or(0);
            let owner = climb(position, &load, &owners);
            load[owner] += 1;
            owners.push(owner);
        }
        owners
            .into_iter()
            .map(|owner| nodes[owner].clone())
            .collect()
    })
}

/// Moves from `start` to the least loaded neighbour as long as the neighbour's load is lower by
/// more than [`CLIMB_THRESHOLD`], up to [`CLIMB_STEPS`] times; returns the node reached.
///
/// Nodes in `owners` already own the target and are avoided.
fn climb(start: usize, load: &[usize], owners: &[usize]) -> usize {
    let mut position = start;
    for _ in 0..CLIMB_STEPS {
        let least = neighbors(position, load.len())
            .filter(|neighbor| !owners.contains(neighbor))
            .min_by_key(|neighbor| load[*neighbor]);
        match least {
            Some(least) if load[least].saturating_add(CLIMB_THRESHOLD) < load[position] => {
                position = least;
            }
            Some(least) if owners.contains(&position) => position = least,
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

/// Draws from all nodes and skips lost ones, so that the loss of a node changes the owners of its
/// own targets only.
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

/// Chooses owners as if all nodes were alive, then replaces each lost owner by the node that
/// [`climb`] finds, or by the least loaded node if that node is lost as well.
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
            let owner = climb(owners[position], &load, owners);
            let owner = if alive[owner] {
                owner
            } else {
                least_loaded(&load, owners)
            };
            owners[position] = owner;
            load[owner] += 1;
        }
    }
    plan
}

fn least_loaded(load: &[usize], owners: &[usize]) -> usize {
    let other_nodes = (0..load.len()).filter(|node| !owners.contains(node));
    other_nodes.min_by_key(|node| load[*node]).unwrap_or(0)
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
    let alive_cells: Vec<usize> = (0..cell_count)
        .filter(|cell| !cells[*cell].is_empty())
        .collect();
    let owners = (0..sample.targets.len()).map(|target| {
        let cell = choose(target, cell_count, &alive_cells);
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
