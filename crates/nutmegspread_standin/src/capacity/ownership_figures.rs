//! What one way of giving targets to nodes means.

use super::{FleetSample, OwnershipPlan, OwnershipScheme};

/// Queries over which the distinct owners are averaged.
const SAMPLED_QUERIES: usize = 50;

/// Balance, connections and moves of a scheme in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipFigures {
    /// Scheme.
    pub scheme: OwnershipScheme,
    /// Most nodes that hold connections to one target.
    pub owners_per_target: usize,
    /// Mean of the targets that a node owns a part of.
    pub mean_targets: f64,
    /// Most targets that one node owns a part of.
    pub most_targets: usize,
    /// Largest load over the mean.
    pub imbalance: f64,
    /// Most connections that one node holds when targets are used to their limits.
    pub most_connections: u64,
    /// Mean of the same.
    pub mean_connections: f64,
    /// Distinct leading owners of the targets of one query.
    pub owners_per_query: f64,
    /// Parts that move when one node leaves, over the parts that it held.
    pub node_loss_move_ratio: f64,
    /// Parts that move when a failure domain leaves, over the parts that it held.
    pub domain_loss_move_ratio: f64,
    /// Largest load over the mean after a failure domain left.
    pub domain_loss_imbalance: f64,
}

impl OwnershipFigures {
    /// Computes the figures of a scheme.
    pub fn compute(scheme: OwnershipScheme, sample: &FleetSample, seed: u64) -> Self {
        let all = vec![true; sample.nodes.len()];
        let plan = scheme.place(sample, &all, seed);
        let loads = plan.node_loads();
        let (mean, most) = mean_and_most(&loads, &all);
        let connections = node_connections(&plan, sample.connection_limit);
        let mut without_node = all.clone();
        without_node[sample.nodes.len() / 2] = false;
        let without_domain: Vec<bool> = sample
            .nodes
            .iter()
            .map(|node| node.domain != sample.nodes[0].domain)
            .collect();
        let after = scheme.place(sample, &without_domain, seed);
        let (mean_after, most_after) = mean_and_most(&after.node_loads(), &without_domain);
        Self {
            scheme,
            owners_per_target: plan.owners.iter().map(Vec::len).max().unwrap_or_default(),
            mean_targets: mean,
            most_targets: most,
            imbalance: most as f64 / mean,
            most_connections: connections.iter().copied().max().unwrap_or_default(),
            mean_connections: connections.iter().sum::<u64>() as f64 / connections.len() as f64,
            owners_per_query: owners_per_query(&plan, sample),
            node_loss_move_ratio: moves(
                &plan,
                &scheme.place(sample, &without_node, seed),
                &without_node,
            ),
            domain_loss_move_ratio: moves(&plan, &after, &without_domain),
            domain_loss_imbalance: most_after as f64 / mean_after,
        }
    }
}

fn mean_and_most(loads: &[usize], alive: &[bool]) -> (f64, usize) {
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

fn moves(before: &OwnershipPlan, after: &OwnershipPlan, alive: &[bool]) -> f64 {
    before.new_pairs(after) as f64 / before.lost_pairs(alive).max(1) as f64
}
