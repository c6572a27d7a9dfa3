//! Generated fleets of nodes and targets.

use nutmegspread_model::{DomainName, NodeId, TargetId};
use nutmegspread_policy::fleet::OwnerCandidate;

/// Approximate number of nodes in a cell; the number of cells is computed from it.
const CELL_SIZE: usize = 8;
/// Number of targets that one query sends sub-requests to, at most all targets of the fleet.
const QUERY_TARGETS: usize = 480;

/// A generated fleet, with its nodes and targets spread evenly over the failure domains.
#[derive(Clone, Debug)]
pub struct FleetSample {
    /// Title of the fleet's table in the report.
    pub name: &'static str,
    /// Nodes with their failure domains.
    pub nodes: Vec<OwnerCandidate>,
    /// Cell number of each node, in the order of `nodes`.
    pub cells: Vec<usize>,
    /// Targets with their failure domains.
    pub targets: Vec<(TargetId, DomainName)>,
    /// Number of owners that each target has.
    pub owner_count: usize,
    /// Number of connections that a target accepts, shared by its owners.
    pub connection_limit: u32,
}

impl FleetSample {
    /// The fleet that the design has to support: 760 nodes, 3,500 searchers, 5 failure domains.
    pub fn planned() -> Self {
        Self::generate("760 nodes, 3,500 searchers, 5 domains", 760, 3500, 5)
    }

    /// A fleet of the size in use today: 7 nodes, 111 searchers, 4 failure domains.
    pub fn present() -> Self {
        Self::generate("7 nodes, 111 searchers, 4 domains", 7, 111, 4)
    }

    /// All fleets for which the ownership schemes are compared.
    pub fn all() -> Vec<Self> {
        vec![Self::planned(), Self::present()]
    }

    /// Number of cells in the fleet.
    pub fn cell_count(&self) -> usize {
        self.cells.iter().max().map_or(0, |last| last + 1)
    }

    /// Positions in `targets` of the targets that one query sends sub-requests to.
    ///
    /// The positions are consecutive, as those of the replicas of one service are, and begin at
    /// `start`.
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
