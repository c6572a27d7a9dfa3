//! Figures by which ownership schemes are compared.

use super::{FleetSample, OwnershipPlan, OwnershipScheme};

/// Number of queries over which the number of distinct owners is averaged.
const SAMPLED_QUERIES: usize = 50;

/// Balance, connections and changes of owner that a scheme causes in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipFigures {
    /// Scheme to which the figures apply.
    pub scheme: OwnershipScheme,
    /// Largest number of owners that any target has.
    pub owners_per_target: usize,
    /// Mean number of targets that a node owns, alone or with other nodes.
    pub mean_targets: f64,
    /// Largest number of targets that any node owns, alone or with other nodes.
    pub max_targets: usize,
    /// `max_targets` divided by `mean_targets`.
    pub imbalance: f64,
    /// Largest number of connections that any node holds when all targets are used to their limits.
    pub max_connections: u64,
    /// Mean number of connections of a node when all targets are used to their limits.
    pub mean_connections: f64,
    /// Mean number of distinct nodes that lead the targets of one query.
    pub owners_per_query: f64,
    /// Number of owners newly assigned to targets when one node leaves, divided by the number of
    /// targets that the node owned.
    pub node_loss_move_ratio: f64,
    /// Number of owners newly assigned to targets when a failure domain leaves, divided by the sum
    /// of the numbers of targets that its nodes owned.
    pub domain_loss_move_ratio: f64,
    /// Largest number of targets that any node owns, divided by the mean, after a failure domain
    /// has left.
    pub domain_loss_imbalance: f64,
}

impl OwnershipFigures {
    /// Computes the figures of a scheme; `seed` matters only to [`OwnershipScheme::RandomChoice`].
    pub fn compute(scheme: OwnershipScheme, sample: &FleetSample, seed: u64) -> Self {
        let all_alive = vec![true; sample.nodes.len()];
        let plan = scheme.place(sample, &all_alive, seed);
        let loads = plan.node_loads();
        let (mean, max) = mean_and_max(&loads, &all_alive);
        let connections = node_connections(&plan, sample.connection_limit);
        let mut without_node = all_alive.clone();
        without_node[sample.nodes.len() / 2] = false;
        let without_domain: Vec<bool> = sample
            .nodes
            .iter()
            .map(|node| node.domain != sample.nodes[0].domain)
            .collect();
        let plan_after = scheme.place(sample, &without_domain, seed);
        let (mean_after, max_after) = mean_and_max(&plan_after.node_loads(), &without_domain);
        Self {
            scheme,
            owners_per_target: plan.owners.iter().map(Vec::len).max().unwrap_or_default(),
            mean_targets: mean,
            max_targets: max,
            imbalance: max as f64 / mean,
            max_connections: connections.iter().copied().max().unwrap_or_default(),
            mean_connections: connections.iter().sum::<u64>() as f64 / connections.len() as f64,
            owners_per_query: owners_per_query(&plan, sample),
            node_loss_move_ratio: move_ratio(
                &plan,
                &scheme.place(sample, &without_node, seed),
                &without_node,
            ),
            domain_loss_move_ratio: move_ratio(&plan, &plan_after, &without_domain),
            domain_loss_imbalance: max_after as f64 / mean_after,
        }
    }
}

fn mean_and_max(loads: &[usize], alive: &[bool]) -> (f64, usize) {
    let count = alive.iter().filter(|alive| **alive).count().max(1);
    let sum: usize = loads.iter().sum();
    (
        sum as f64 / count as f64,
        loads.iter().copied().max().unwrap_or_default(),
    )
}

fn node_connections(plan: &OwnershipPlan, limit: u32) -> Vec<u64> {
    let mut connections = vec![0; plan.node_count];
    for owners in &plan.owners {
        for owner in owners {
            connections[*owner] += u64::from(limit) / owners.len() as u64;
        }
    }
    connections
}

fn owners_per_query(plan: &OwnershipPlan, sample: &FleetSample) -> f64 {
    let count = sample.targets.len();
    let starts = (0..SAMPLED_QUERIES).map(|query| query * count / SAMPLED_QUERIES);
    let owners: usize = starts
        .map(|start| plan.distinct_owners(sample.query_targets(start)))
        .sum();
    owners as f64 / SAMPLED_QUERIES as f64
}

fn move_ratio(before: &OwnershipPlan, after: &OwnershipPlan, alive: &[bool]) -> f64 {
    before.new_pairs(after) as f64 / before.lost_pairs(alive).max(1) as f64
}
