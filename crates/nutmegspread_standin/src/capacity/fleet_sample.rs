//! Generated fleets of nodes and targets.

use nutmegspread_model::{DomainName, NodeId, TargetId};
use nutmegspread_policy::fleet::OwnerCandidate;

/// Nodes of one cell, about.
const CELL_SIZE: usize = 8;
/// Targets that one query asks.
const QUERY_TARGETS: usize = 480;

/// Nodes and targets, spread evenly over failure domains.
#[derive(Clone, Debug)]
pub struct FleetSample {
    /// Name in tables.
    pub name: &'static str,
    /// Nodes.
    pub nodes: Vec<OwnerCandidate>,
    /// Cell of each node, in the same order.
    pub cells: Vec<usize>,
    /// Targets with their failure domains.
    pub targets: Vec<(TargetId, DomainName)>,
    /// Owners of each target.
    pub owner_count: usize,
    /// Connections that a target accepts.
    pub connection_limit: u32,
}

impl FleetSample {
    /// The fleet to design for: 760 nodes, 3,500 searchers, 5 failure domains.
    pub fn planned() -> Self {
        Self::generate("760 nodes, 3,500 searchers, 5 domains", 760, 3500, 5)
    }

    /// A fleet of today: 7 nodes, 111 searchers, 4 failure domains.
    pub fn present() -> Self {
        Self::generate("7 nodes, 111 searchers, 4 domains", 7, 111, 4)
    }

    /// Every fleet that is compared.
    pub fn all() -> Vec<Self> {
        vec![Self::planned(), Self::present()]
    }

    /// Number of cells.
    pub fn cell_count(&self) -> usize {
        self.cells.iter().max().map_or(0, |last| last + 1)
    }

    /// Targets that one query asks: consecutive ones, as the replicas of one service are.
    pub fn query_targets(&self, start: usize) -> impl Iterator<Item = usize> {
        let count = self.targets.len();
        (0..QUERY_TARGETS.min(count)).map(move |offset| (start + offset) % count)
    }

    fn generate(name: &'static str, nodes: usize, targets: usize, domains: usize) -> Self {
        let domain = |number: usize| DomainName::from(format!("domain-{}", number % domains));
        let node = |number: usize| OwnerCandidate {
            node: NodeId::from(format!("node-{number:03}")),
            domain: domain(number),
        };
        let cell_count = (nodes / CELL_SIZE).max(1);
        Self {
            name,
            nodes: (0..nodes).map(node).collect(),
            cells: (0..nodes)
                .map(|number| number * cell_count / nodes)
                .collect(),
            targets: (0..targets)
                .map(|number| (format!("target-{number:04}").into(), domain(number)))
                .collect(),
            owner_count: 2,
            connection_limit: 25,
        }
    }
}
