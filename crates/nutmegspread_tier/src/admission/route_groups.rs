//! Routes that share services.

use crate::{RouteDestination, RouteName, RouteTable, ServiceName, ServiceRoute};
use indexmap::IndexMap;

/// Groups of routes of a configuration. Two routes are in one group if a chain of routes, each with a
/// service of the next, leads from one to the other. The load of one group leaves the targets of the
/// others alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteGroups {
    groups: IndexMap<RouteName, usize>,
    count: usize,
}

impl RouteGroups {
    /// Finds the groups of a configuration.
    pub fn new(table: &RouteTable) -> Self {
        let routes: Vec<&ServiceRoute> =
            table.hosts.values().flatten().map(AsRef::as_ref).collect();
        // Position of a route of the same group; the route itself if it is the first one.
        let mut leaders: Vec<usize> = (0..routes.len()).collect();
        let mut users: IndexMap<&ServiceName, usize> = IndexMap::new();
        for (position, route) in routes.iter().enumerate() {
            for service in services(&route.destination) {
                let user = *users.entry(service).or_insert(position);
                let (left, right) = (leader(&mut leaders, user), leader(&mut leaders, position));
                leaders[left.max(right)] = left.min(right);
            }
        }
        let mut numbers: IndexMap<usize, usize> = IndexMap::new();
        let mut groups = IndexMap::new();
        for (position, route) in routes.iter().enumerate() {
            let next = numbers.len();
            let first = leader(&mut leaders, position);
            let number = *numbers.entry(first).or_insert(next);
            groups.insert(RouteName::clone(&route.name), number);
        }
        Self {
            groups,
            count: numbers.len(),
        }
    }

    /// Number of the group of a route; `None` if the configuration has no such route.
    pub fn group(&self, route: &RouteName) -> Option<usize> {
        self.groups.get(route).copied()
    }

    /// Number of groups.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Routes and the numbers of their groups.
    pub fn routes(&self) -> impl Iterator<Item = (&RouteName, usize)> {
        self.groups.iter().map(|(route, group)| (route, *group))
    }
}

/// Services of a destination.
fn services(destination: &RouteDestination) -> Vec<&ServiceName> {
    match destination {
        RouteDestination::Service(service) => vec![service],
        RouteDestination::Split(parts) => parts.iter().map(|(service, _)| service).collect(),
        RouteDestination::Gather(rule) => rule.shards.iter().collect(),
    }
}

/// First position of the group of `position`; shortens the way there for later calls.
fn leader(leaders: &mut [usize], position: usize) -> usize {
    let mut current = position;
    while leaders[current] != current {
        leaders[current] = leaders[leaders[current]];
        current = leaders[current];
    }
    current
}
