//! Targets, services and routes as the traffic thread uses them.

use crate::traffic::open_request::OpenRequest;
use crate::traffic::route_state::RouteState;
use crate::traffic::send_job::SendJob;
use crate::traffic::target_connection::TargetConnection;
use crate::traffic::target_state::TargetState;
use crate::{FleetView, SharedState};
use indexmap::IndexMap;
use nutmegspread_tier::{
    ColdAllowance, ConnectionAllowance, LatencyWindow, NodeName, RetryBudget, RetryBudgetSettings,
    RouteName, ServiceName, TargetHealth, TargetId, TargetKey, TargetRecord, VersionChooser,
    cold_share,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Part of the extra sends for each request that is used; lost counts take the rest.
const RATIO_SHARE: f64 = 0.9;
/// Part of the extra sends without any request that is used; a node that is started again within
/// the window has forgotten what it used and gets its part anew.
const SLACK_SHARE: f64 = 0.5;
/// Part of a target's connection limit that all nodes together use; those of nodes that lost power
/// count on for a while.
const CONNECTION_SHARE: f64 = 0.6;
/// Part of a cold target's limit that all nodes together use.
const COLD_SHARE: f64 = 0.7;
/// Usual latency before any is known, as a share of the objective.
const UNKNOWN_LATENCY: f64 = 0.2;

/// A service as this node uses it.
#[derive(Debug)]
pub struct ServiceState {
    /// Its targets in the newest view.
    pub targets: Vec<TargetKey>,
    /// Extra sends that it bears from this node.
    pub budget: RetryBudget,
    /// Sends to a version on trial, which the rollout of `trial` counts.
    pub versions: VersionChooser,
    /// The version on trial.
    trial: Option<String>,
}

/// What targets leave behind that must get nothing more.
#[derive(Debug, Default)]
pub struct TargetRemains {
    /// Idle connections to them.
    pub connections: Vec<Rc<TargetConnection>>,
    /// Sends that waited for a connection to them.
    pub jobs: Vec<Rc<SendJob>>,
}

/// Targets, services and routes as this node uses them.
#[derive(Debug)]
pub struct TargetTable {
    /// The view in use.
    pub view: Arc<FleetView>,
    /// Targets by key.
    pub targets: IndexMap<TargetKey, TargetState>,
    /// Keys by id and start of the target.
    keys: IndexMap<(TargetId, u64), TargetKey>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceState>,
    /// What was seen of each route.
    pub routes: IndexMap<RouteName, RouteState>,
    next_key: TargetKey,
    /// Spreads equal choices.
    pub random: SmallRng,
}

impl TargetTable {
    /// A table for a view that names nothing yet.
    pub fn new(view: Arc<FleetView>) -> Self {
        Self {
            view,
            targets: IndexMap::new(),
            keys: IndexMap::new(),
            services: IndexMap::new(),
            routes: IndexMap::new(),
            next_key: 0,
            random: SmallRng::from_os_rng(),
        }
    }

    /// Drops a target that is neither usable nor connected.
    pub fn drop_unused(&mut self, key: TargetKey) {
        let is_unused = self
            .targets
            .get(&key)
            .is_some_and(|target| !target.is_usable && target.connections == 0);
        if is_unused && let Some(target) = self.targets.swap_remove(&key) {
            let name = (Arc::clone(&target.record.id), target.record.started_ms);
            if self.keys.get(&name) == Some(&key) {
                self.keys.swap_remove(&name);
            }
        }
    }

    /// The state of a service, new where it was not known.
    pub fn service(&mut self, name: &ServiceName, shared: &SharedState) -> &mut ServiceState {
        if !self.services.contains_key(name) {
            let budget = RetryBudget::new(budget_settings(shared, self.view.part));
            self.services.insert(
                Arc::clone(name),
                ServiceState {
                    targets: Vec::new(),
                    budget,
                    versions: VersionChooser::default(),
                    trial: None,
                },
            );
        }
        &mut self.services[name]
    }

    /// Whether a service has a target that answers, as far as the node can tell.
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

    /// The usual and the high latency of a send of a request.
    pub fn usual_latency(&self, request: &OpenRequest) -> (Duration, Duration) {
        let unknown = request.route.objective.mul_f64(UNKNOWN_LATENCY);
        let latencies = self
            .routes
            .get(&request.route.name)
            .map(|route| &route.latencies);
        let median = latencies.and_then(LatencyWindow::median).unwrap_or(unknown);
        let high = latencies
            .and_then(LatencyWindow::p90)
            .unwrap_or(unknown * 2);
        (median, high.max(median.mul_f64(1.5)))
    }

    /// Takes a view over; returns what targets that it does not allow leave behind.
    pub fn apply_view(
        &mut self,
        view: &Arc<FleetView>,
        shared: &SharedState,
        now: Instant,
    ) -> TargetRemains {
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
            let trial = view.rollouts.get(name).map(|rollout| &rollout.version);
            if service.trial.as_ref() != trial {
                service.trial = trial.cloned();
                service.versions = VersionChooser::default();
            }
        }
        for (name, records) in &view.targets {
            self.service(name, shared);
            for record in records {
                let is_evacuated = view.evacuated.contains(&record.domain);
                let key = self.target(record, &settings.domain, now);
                let limits = view
                    .table
                    .as_ref()
                    .and_then(|table| table.services.get(name));
                let target = &mut self.targets[&key];
                let connections = limits.map_or(1, |limits| limits.connections);
                let connections = f64::from(connections) * CONNECTION_SHARE * view.part;
                target.allowance.set_share(connections as usize);
                let cold =
                    limits.filter(|limits| limits.cold_requests > 0.0 && target.is_cold(now));
                target.cold.set_share(cold.map(|limits| {
                    let bound = limits.cold_requests * settings.cold_factor + settings.cold_slack;
                    let limit = bound * COLD_SHARE;
                    match &view.sharers {
                        Some(nodes) => cold_share(limit as u32, &record.id, &own, nodes),
                        None => (limit * view.part) as u32,
                    }
                }));
                target.is_usable = !is_evacuated;
                self.services[name].targets.push(key);
            }
        }
        let mut remains = TargetRemains::default();
        let mut gone = Vec::new();
        for (key, target) in &mut self.targets {
            if !target.is_usable {
                remains.connections.append(&mut target.idle);
                remains.jobs.extend(target.waiting.drain(..));
                if target.connections == 0 {
                    gone.push(*key);
                }
            }
        }
        for key in gone {
            self.drop_unused(key);
        }
        self.services.retain(|name, service| {
            !service.targets.is_empty()
                || view
                    .table
                    .as_ref()
                    .is_some_and(|table| table.services.contains_key(name))
        });
        remains
    }

    /// The key of a target, which is new for each start and address of the target.
    fn target(&mut self, record: &Arc<TargetRecord>, domain: &str, now: Instant) -> TargetKey {
        let name = (Arc::clone(&record.id), record.started_ms);
        let cold_until = now + record.cold_left;
        if let Some(key) = self.keys.get(&name)
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
        self.keys.insert(name, key);
        self.targets.insert(
            key,
            TargetState {
                record: Arc::clone(record),
                health: TargetHealth::default(),
                idle: Vec::new(),
                connections: 0,
                waiting: VecDeque::new(),
                opens_later: false,
                allowance: ConnectionAllowance::default(),
                is_usable: true,
                is_replaced: false,
                is_near: &*record.domain == domain,
                cold_until,
                cold: ColdAllowance::default(),
            },
        );
        key
    }
}

fn budget_settings(shared: &SharedState, part: f64) -> RetryBudgetSettings {
    let settings = shared.settings.load();
    RetryBudgetSettings {
        ratio: settings.retry_ratio * RATIO_SHARE,
        slack: settings.retry_slack * SLACK_SHARE * part,
        window: Duration::from_secs_f64(settings.retry_window_s),
    }
}
