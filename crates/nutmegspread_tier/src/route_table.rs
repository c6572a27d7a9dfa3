//! The routes, services and limits of one configuration version.

use crate::{ServiceName, ServiceRoute, TenantKeys};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Routes, services and limits of one configuration version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version number of the configuration. A later version has a larger number, but numbers may be
    /// skipped.
    pub version: u64,
    /// Routes of each host, by lower-case host name; the longest path prefix comes first.
    pub hosts: IndexMap<String, Vec<Arc<ServiceRoute>>>,
    /// Limits of each service's targets, by the name of the service.
    pub services: IndexMap<ServiceName, ServiceLimits>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// Keys of the tenants; `None` if requests need no key.
    pub tenants: Option<Arc<TenantKeys>>,
}

/// Limits of each target of one service.
///
/// A target is cold for a time after its start and then accepts fewer requests per second than
/// later.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLimits {
    /// Largest number of connections that the target accepts from all nodes together.
    pub connections: u32,
    /// Largest number of requests per second that the target accepts from all nodes together while
    /// it is cold; 0 means no limit.
    pub cold_requests: f64,
    /// How long the target stays cold after its start.
    pub cold_time: Duration,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerLimits {
    /// Largest size of a request head in bytes.
    pub head_bytes: usize,
    /// Largest size of a request body in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request head until it is complete.
    pub head_time: Duration,
    /// Longest time that a caller's connection may stay idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            head_time: Duration::from_millis(3000),
            idle: Duration::from_secs(15),
        }
    }
}

impl RouteTable {
    /// Creates a table without tenants, in which the routes of each host are sorted so that the first match has the
    /// longest prefix.
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
            tenants: None,
        }
    }

    /// Whether requests on some route need the key of a tenant.
    pub fn needs_keys(&self) -> bool {
        let mut routes = self.hosts.values().flatten();
        self.tenants.is_some() && routes.any(|route| !route.is_public)
    }

    /// Finds the route of `host` that has the longest matching prefix of `path`.
    ///
    /// In `host`, a port and the case of letters are ignored; in `path`, a query string is ignored.
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
