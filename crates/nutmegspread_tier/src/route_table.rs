//! The routes and services of one configuration version.

use crate::{ServiceName, ServiceRoute};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Everything that one configuration version says about forwarding.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version number; versions only grow, in uneven steps.
    pub version: u64,
    /// Routes by lower-case host name, longest path prefix first.
    pub hosts: IndexMap<String, Vec<Arc<ServiceRoute>>>,
    /// Limits of each service by its name.
    pub services: IndexMap<ServiceName, ServiceLimits>,
    /// What callers may send, and how long they may take.
    pub limits: CallerLimits,
}

/// What the targets of one service bear.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLimits {
    /// Connections that one target accepts from all nodes together.
    pub connections: u32,
    /// Requests a second that a cold target bears from all nodes together; 0 stands for no limit.
    pub cold_requests: f64,
    /// How long a target stays cold after its start.
    pub cold_time: Duration,
}

/// Bounds on what a caller may send.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// How long a connection may stay idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            idle: Duration::from_secs(15),
        }
    }
}

impl RouteTable {
    /// Builds a table and sorts the routes of each host for longest-prefix matching.
    pub fn new(
        version: u64,
        routes: Vec<ServiceRoute>,
        services: IndexMap<ServiceName, ServiceLimits>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: IndexMap<String, Vec<Arc<ServiceRoute>>> = IndexMap::new();
        for route in routes {
            hosts
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            hosts,
            services,
            limits,
        }
    }

    /// Finds the route with the longest prefix of `path` among those of `host`.
    ///
    /// A port in `host` and the case of its letters are ignored; a query in `path` is not matched.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ServiceRoute>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
