//! Targets, services and routes in the traffic thread.

use crate::traffic::connection_pool::ConnectionPool;
use crate::traffic::open_request::OpenRequest;
use crate::traffic::route_state::RouteState;
use crate::traffic::target_attempt::TargetAttempt;
use crate::traffic::target_connection::TargetConnection;
use crate::traffic::target_state::TargetState;
use crate::{FleetView, SharedState};
use indexmap::IndexMap;
use nutmegspread_tier::{
    ColdAllowance, LatencyWindow, NodeName, RequestCost, RetryBudget, RetryBudgetSettings,
    RouteName, ServiceName, StorePosition, TargetHealth, TargetId, TargetKey, TargetRecord,
    TargetWishes, VersionChooser, cold_share,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Fraction of the retry ratio that is used; the rest is reserved because nodes may lose their
/// counts.
const RATIO_FRACTION: f64 = 0.9;
/// Fraction of the retry slack that is used. A node that restarts within the window has lost its
/// count and starts again with its full share.
const SLACK_FRACTION: f64 = 0.5;
/// Fraction of a target's connection limit that all nodes together use. After a node lost power,
/// the target still counts its connections for a while.
const CONNECTION_FRACTION: f64 = 0.6;
/// Fraction of a cold target's limit that all nodes together use.
const COLD_FRACTION: f64 = 0.7;
/// Most removed targets whose wishes are kept.
const MAX_REMOVED_WISHES: usize = 1024;
/// Median latency that is assumed before any answer, as a fraction of the objective.
const DEFAULT_LATENCY_FRACTION: f64 = 0.2;

/// State of one service in the traffic thread.
#[derive(Debug)]
pub struct ServiceState {
    /// Targets of the service in the newest view.
    pub targets: Vec<TargetKey>,
    /// Budget of this node for extra attempts on the service.
    pub budget: RetryBudget,
    /// Counts attempts by version to limit those on the new version; reset with each rollout.
    pub versions: VersionChooser,
    /// New version and order of the rollout under way; `None` if there is none.
    rollout: Option<(String, StorePosition)>,
}

/// Connections and attempts of targets that are no longer usable.
#[derive(Debug, Default)]
pub struct WithdrawnWork {
    /// Idle connections, which have to be closed.
    pub connections: Vec<Rc<TargetConnection>>,
    /// Attempts that waited for a connection, which have to be withdrawn.
    pub attempts: Vec<Rc<TargetAttempt>>,
}

/// Targets, services and routes in the traffic thread.
#[derive(Debug)]
pub struct TargetTable {
    /// View that was applied last.
    pub view: Arc<FleetView>,
    /// Targets by key.
    pub targets: IndexMap<TargetKey, TargetState>,
    /// Keys of targets, by target id and start time in milliseconds.
    keys: IndexMap<(TargetId, u64), TargetKey>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceState>,
    /// Routes by name.
    pub routes: IndexMap<RouteName, RouteState>,
    next_key: TargetKey,
    /// Wishes of targets that were removed, as a registration may come back for the same start of
    /// the target; the oldest first.
    removed_wishes: IndexMap<(TargetId, u64), TargetWishes>,
    /// Random numbers that spread attempts over equally good targets.
    pub random: SmallRng,
}

impl TargetTable {
    /// Creates a table without targets; `view` is the empty view.
    pub fn new(view: Arc<FleetView>) -> Self {
        Self {
            view,
            targets: IndexMap::new(),
            keys: IndexMap::new(),
            services: IndexMap::new(),
            routes: IndexMap::new(),
            next_key: 0,
            removed_wishes: IndexMap::new(),
            random: SmallRng::from_os_rng(),
        }
    }

    /// Removes a target that is neither usable nor connected.
    pub fn drop_unused(&mut self, key: TargetKey) {
        let is_unused = self
            .targets
            .get(&key)
            .is_some_and(|target| !target.is_usable && target.pool.connections == 0);
        if is_unused && let Some(target) = self.targets.swap_remove(&key) {
            let id = (Arc::clone(&target.record.id), target.record.started_ms);
            if self.keys.get(&id) == Some(&key) {
                self.keys.swap_remove(&id);
            }
            if target.wishes != TargetWishes::default() {
                if self.removed_wishes.len() >= MAX_REMOVED_WISHES {
                    self.removed_wishes.shift_remove_index(0);
                }
                self.removed_wishes.insert(id, target.wishes);
            }
        }
    }

    /// Returns the state of a service, which is created if there is none.
    pub fn service(&mut self, name: &ServiceName, shared: &SharedState) -> &mut ServiceState {
        if !self.services.contains_key(name) {
            let budget = RetryBudget::new(budget_settings(shared, self.view.part));
            self.services.insert(
                Arc::clone(name),
                ServiceState {
                    targets: Vec::new(),
                    budget,
                    versions: VersionChooser::default(),
                    rollout: None,
                },
            );
        }
        &mut self.services[name]
    }

    /// Returns the state of a route, which is created if there is none.
    pub fn route(&mut self, name: &RouteName) -> &mut RouteState {
        if !self.routes.contains_key(name) {
            self.routes.insert(Arc::clone(name), RouteState::default());
        }
        &mut self.routes[name]
    }

    /// Whether a service has a usable target without an attempt that is unanswered for `silence` or
    /// longer.
    pub fn is_in_reach(&self, name: &ServiceName, silence: Duration, now: Instant) -> bool {
        let Some(service) = self.services.get(name) else {
            return false;
        };
        service
            .targets
            .iter()
            .filter_map(|key| self.targets.get(key))
            .any(|target| {
                target.is_usable && !target.is_replaced && target.health.oldest_age(now) < silence
            })
    }

    /// Number of targets of a service that accept attempts.
    pub fn accepting(&self, name: &ServiceName, now: Instant) -> usize {
        let service = self.services.get(name);
        let keys = service.into_iter().flat_map(|service| &service.targets);
        let targets = keys.filter_map(|key| self.targets.get(key));
        targets.filter(|target| target.accepts(now)).count()
    }

    /// Earliest time from `now` on at which some target of a service may take an attempt, apart from
    /// its limits; `None` if there is none.
    pub fn next_allowed(&self, name: &ServiceName, now: Instant) -> Option<Instant> {
        let service = self.services.get(name)?;
        let targets = service
            .targets
            .iter()
            .filter_map(|key| self.targets.get(key));
        targets.filter_map(|target| target.next_allowed(now)).min()
    }

    /// Median and 90th percentile of the latency of attempts on the route of a request.
    pub fn latency_quantiles(&self, request: &OpenRequest) -> (Duration, Duration) {
        let default = request.route.objective.mul_f64(DEFAULT_LATENCY_FRACTION);
        let latencies = self
            .routes
            .get(&request.route.name)
            .map(|route| &route.latencies);
        let median = latencies.and_then(LatencyWindow::median).unwrap_or(default);
        let p90 = latencies
            .and_then(LatencyWindow::p90)
            .unwrap_or(default * 2);
        (median, p90.max(median.mul_f64(1.5)))
    }

    /// What is expected of an attempt on the route of a request.
    pub fn request_cost(&self, request: &OpenRequest) -> RequestCost {
        let (latency, _) = self.latency_quantiles(request);
        let route = self.routes.get(&request.route.name);
        let work = route.and_then(|route| route.cost.mean());
        RequestCost { latency, work }
    }

    /// Applies a view. Returns the idle connections and waiting attempts of targets that are no
    /// longer usable.
    pub fn apply_view(
        &mut self,
        view: &Arc<FleetView>,
        shared: &SharedState,
        now: Instant,
    ) -> WithdrawnWork {
        self.view = Arc::clone(view);
        let settings = shared.settings.load();
        let own: NodeName = settings.node.as_str().into();
        for target in self.targets.values_mut() {
            target.is_usable = false;
        }
        for service in self.services.values_mut() {
            service.targets.clear();
            service
                .budget
                .set_settings(budget_settings(shared, view.part));
        }
        for (name, service) in &mut self.services {
            let rollout = view.rollouts.get(name);
            let rollout = rollout.map(|rollout| (rollout.version.clone(), rollout.order));
            if service.rollout != rollout {
                service.rollout = rollout;
                service.versions = VersionChooser::new(self.random.random_range(0.0..1.0));
            }
        }
        for (name, records) in &view.targets {
            self.service(name, shared);
            for record in records {
                let is_evacuated = view.evacuated.contains(&record.domain);
                let key = self.target_key(record, &settings.domain, now);
                let limits = view
                    .table
                    .as_ref()
                    .and_then(|table| table.services.get(name));
                let target = &mut self.targets[&key];
                let connections = limits.map_or(1, |limits| limits.connections);
                let connections = f64::from(connections) * CONNECTION_FRACTION * view.part;
                target.pool.allowance.set_share(connections as usize);
                let cold =
                    limits.filter(|limits| limits.cold_requests > 0.0 && target.is_cold(now));
                target.cold.set_share(cold.map(|limits| {
                    let allowed = limits.cold_requests * settings.cold_factor + settings.cold_slack;
                    let limit = allowed * COLD_FRACTION;
                    match &view.sharers {
                        Some(nodes) => cold_share(limit as u32, &record.id, &own, nodes),
                        None => (limit * view.part) as u32,
                    }
                }));
                target.is_usable = !is_evacuated;
                self.services[name].targets.push(key);
            }
        }
        let mut withdrawn = WithdrawnWork::default();
        let mut unused_keys = Vec::new();
        for (key, target) in &mut self.targets {
            if !target.is_usable {
                withdrawn.connections.append(&mut target.pool.idle);
                withdrawn.attempts.extend(target.pool.take_all_waiting());
                if target.pool.connections == 0 {
                    unused_keys.push(*key);
                }
            }
        }
        for key in unused_keys {
            self.drop_unused(key);
        }
        self.services.retain(|name, service| {
            !service.targets.is_empty()
                || view
                    .table
                    .as_ref()
                    .is_some_and(|table| table.services.contains_key(name))
        });
        withdrawn
    }

    /// Returns the key of a target. A target that restarted or moved to another address gets a new
    /// key.
    fn target_key(&mut self, record: &Arc<TargetRecord>, domain: &str, now: Instant) -> TargetKey {
        let id = (Arc::clone(&record.id), record.started_ms);
        let cold_until = now + record.cold_left;
        if let Some(key) = self.keys.get(&id)
            && let Some(target) = self.targets.get_mut(key)
            && target.record.address == record.address
        {
            if !Arc::ptr_eq(&target.record, record) {
                target.record = Arc::clone(record);
                target.cold_until = cold_until;
            }
            return *key;
        }
        let key = self.next_key;
        self.next_key += 1;
        let moved = self.keys.get(&id).and_then(|key| self.targets.get(key));
        let wishes = match moved {
            Some(target) => target.wishes,
            None => self.removed_wishes.shift_remove(&id).unwrap_or_default(),
        };
        self.keys.insert(id, key);
        self.targets.insert(
            key,
            TargetState {
                record: Arc::clone(record),
                health: TargetHealth::default(),
                pool: ConnectionPool::default(),
                is_usable: true,
                is_replaced: false,
                is_near: &*record.domain == domain,
                cold_until,
                cold: ColdAllowance::default(),
                wishes,
            },
        );
        key
    }
}

fn budget_settings(shared: &SharedState, share: f64) -> RetryBudgetSettings {
    let settings = shared.settings.load();
    RetryBudgetSettings {
        ratio: settings.retry_ratio * RATIO_FRACTION,
        slack: settings.retry_slack * SLACK_FRACTION * share,
        window: Duration::from_secs_f64(settings.retry_window_s),
    }
}
